use serde::Serialize;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use super::WaitOutcome;
use crate::{
    agent::{
        claim::{AgentIdentity, PeerView, SlotBroker},
        request::CallerDeparture,
        retry::{RetryBudget, RetryCounts},
        slot::{OpenLimiter, QueueCounts, SlotLimits, WaiterKey},
        ticket::{HandoverStore, LedgerCounts, LedgerLimits, RunKey, TicketLedger},
    },
    clock::ClockMillis,
    key::ServiceNumber,
    manifest::ServiceSpec,
};

/// State that the requests of an agent share under one lock.
#[derive(Debug)]
pub(super) struct CoordinatorState {
    pub(super) broker: SlotBroker,
    pub(super) waiters: SecondaryMap<WaiterKey, oneshot::Sender<WaitOutcome>>,
    pub(super) run_watchers: SecondaryMap<RunKey, oneshot::Sender<CallerDeparture>>,
    pub(super) ledger: TicketLedger,
    pub(super) handovers: HandoverStore,
    pub(super) budget: RetryBudget,
    pub(super) streams: OpenLimiter,
    pub(super) peers: Vec<PeerView>,
}

/// Counts of the coordinator's state, for a dump.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct RequestCounts {
    /// Requests that run or wait.
    pub(crate) queue: QueueCounts,
    /// Local requests with claims at peers.
    pub(crate) own_claims: usize,
    /// Claims of peers at this agent.
    pub(crate) peer_claims: usize,
    /// Open streams that hold no slot.
    pub(crate) streams: u32,
    /// Streams refused at the limit.
    pub(crate) streams_refused: u64,
    /// Tickets in the ledger.
    pub(crate) tickets: LedgerCounts,
    /// Ledgers handed over by peers that have left.
    pub(crate) inherited: usize,
    /// Recent requests and retries.
    pub(crate) retries: RetryCounts,
}

impl CoordinatorState {
    pub(super) fn new(own: AgentIdentity, service: ServiceNumber, spec: &ServiceSpec) -> Self {
        let limits = LedgerLimits::DEFAULT;
        Self {
            broker: SlotBroker::new(own, SlotLimits::new(spec)),
            waiters: SecondaryMap::new(),
            run_watchers: SecondaryMap::new(),
            ledger: TicketLedger::new(own.target, service, own.incarnation, limits),
            handovers: HandoverStore::default(),
            budget: RetryBudget::new(spec.retry_percent),
            streams: OpenLimiter::new(spec.limits.connections),
            peers: Vec::new(),
        }
    }

    /// Returns the counts at `now`.
    pub(super) fn counts(&self, now: ClockMillis) -> RequestCounts {
        let (own_claims, peer_claims) = self.broker.claims();
        RequestCounts {
            queue: self.broker.counts(),
            own_claims,
            peer_claims,
            streams: self.streams.count(),
            streams_refused: self.streams.refused(),
            tickets: self.ledger.counts(),
            inherited: self.handovers.len(),
            retries: self.budget.counts(now),
        }
    }
}
