use serde::Serialize;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use super::WaitEnd;
use crate::{
    agent::{
        claim::{AgentIdentity, PeerView, SlotBroker},
        request::CallerDeparture,
        retry::{RetryBudget, RetryCounts},
        slot::{OpenCount, QueueCounts, SlotLimits, WaiterKey},
        ticket::{HeirStore, LedgerCounts, LedgerLimits, RunKey, TicketLedger},
    },
    clock::ClockMillis,
    key::ServiceNumber,
    manifest::ServiceSpec,
};

/// What the requests of an agent share under one lock.
#[derive(Debug)]
pub(super) struct DeskState {
    pub(super) broker: SlotBroker,
    pub(super) waiters: SecondaryMap<WaiterKey, oneshot::Sender<WaitEnd>>,
    pub(super) runs: SecondaryMap<RunKey, oneshot::Sender<CallerDeparture>>,
    pub(super) ledger: TicketLedger,
    pub(super) heirs: HeirStore,
    pub(super) budget: RetryBudget,
    pub(super) streams: OpenCount,
    pub(super) peers: Vec<PeerView>,
}

/// What the desk holds, for a dump.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct DeskCounts {
    /// The slots and the queue.
    pub(crate) queue: QueueCounts,
    /// Own requests that have claims at peers.
    pub(crate) own_claims: usize,
    /// Claims of peers.
    pub(crate) peer_claims: usize,
    /// Open streams that hold no slot.
    pub(crate) streams: u32,
    /// Streams that were refused.
    pub(crate) streams_refused: u64,
    /// The tickets.
    pub(crate) tickets: LedgerCounts,
    /// Ledgers of peers that have left.
    pub(crate) inherited: usize,
    /// Recent requests and retries.
    pub(crate) retries: RetryCounts,
}

impl DeskState {
    pub(super) fn new(own: AgentIdentity, service: ServiceNumber, spec: &ServiceSpec) -> Self {
        let limits = LedgerLimits::DEFAULT;
        Self {
            broker: SlotBroker::new(own, SlotLimits::new(spec)),
            waiters: SecondaryMap::new(),
            runs: SecondaryMap::new(),
            ledger: TicketLedger::new(own.target, service, own.incarnation, limits),
            heirs: HeirStore::default(),
            budget: RetryBudget::new(spec.retry_percent),
            streams: OpenCount::new(spec.limits.connections),
            peers: Vec::new(),
        }
    }

    /// Returns what is held at `now`.
    pub(super) fn counts(&self, now: ClockMillis) -> DeskCounts {
        let (own_claims, peer_claims) = self.broker.claims();
        DeskCounts {
            queue: self.broker.counts(),
            own_claims,
            peer_claims,
            streams: self.streams.count(),
            streams_refused: self.streams.refused(),
            tickets: self.ledger.counts(),
            inherited: self.heirs.len(),
            retries: self.budget.counts(now),
        }
    }
}
