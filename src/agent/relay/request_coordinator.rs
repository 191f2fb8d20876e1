use std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use arc_swap::ArcSwap;
use tokio::sync::{Notify, oneshot, watch};

use super::{
    CoordinatorState, PeerMessage, RequestCounts, SlotPermit, SlotWait, StreamPermit, WaitOutcome,
};
use crate::{
    agent::{
        admission::TargetLoad,
        claim::{
            AgentIdentity, BindVerdict, BrokerOutput, ClaimFrame, ClaimKey, PeerGrant, PeerView,
        },
        endpoint::{LoadGauge, TargetIdentity, TunnelSocket},
        node::OpenWorkGauge,
        request::{RequestAction, RequestEvent, RequestMachine},
        slot::{OpenVerdict, SlotEvent, SlotKey, SlotLimits, SlotRequest, SlotVerdict, WaiterKey},
    },
    clock::{ClockMillis, ProcessClock},
    key::{ServiceNumber, TargetKey},
    manifest::ServiceSpec,
    route::{TargetEntry, TargetPhase},
    secret::SecretStore,
    watch::WatchState,
};

/// Coordinates all requests at this agent: slots, claims, tickets and retries.
#[derive(Debug)]
pub(crate) struct RequestCoordinator {
    identity: AgentIdentity,
    service: ServiceNumber,
    clock: ProcessClock,
    secret: SecretStore,
    routes: Arc<WatchState>,
    socket: Arc<TunnelSocket>,
    load_gauge: Arc<LoadGauge>,
    open_work: Arc<OpenWorkGauge>,
    upstream: SocketAddrV4,
    spec: ArcSwap<ServiceSpec>,
    state: Mutex<CoordinatorState>,
    settled: watch::Sender<u64>,
    cut: watch::Sender<bool>,
    work: Notify,
}

impl RequestCoordinator {
    /// Creates the coordinator of an agent that has just started.
    pub(crate) fn new(
        identity: TargetIdentity,
        spec: ServiceSpec,
        upstream: SocketAddrV4,
        secret: SecretStore,
        routes: Arc<WatchState>,
        (socket, load_gauge, open_work): (Arc<TunnelSocket>, Arc<LoadGauge>, Arc<OpenWorkGauge>),
    ) -> Arc<Self> {
        let own = AgentIdentity {
            target: identity.target,
            incarnation: identity.incarnation,
        };
        let state = CoordinatorState::new(own, identity.service, &spec);
        Arc::new(Self {
            identity: own,
            service: identity.service,
            clock: socket.clock(),
            secret,
            routes,
            socket,
            load_gauge,
            open_work,
            upstream,
            spec: ArcSwap::from_pointee(spec),
            state: Mutex::new(state),
            settled: watch::Sender::new(0),
            cut: watch::Sender::new(false),
            work: Notify::new(),
        })
    }

    /// Applies a changed service and refreshes the list of peers.
    pub(crate) fn set_service(&self, spec: &ServiceSpec) {
        if **self.spec.load() != *spec {
            self.spec.store(Arc::new(spec.clone()));
        }
        let peers = self.peer_views();
        let mut state = self.lock();
        state.broker.set_limits(SlotLimits::new(spec));
        state.budget.set_percent(spec.retry_percent);
        state.streams.set_limit(spec.limits.connections);
        state.peers = peers;
    }

    /// Cuts all open requests.
    pub(crate) fn cut(&self) {
        self.cut.send_replace(true);
    }

    /// Returns the current counts, for a dump.
    pub(crate) fn counts(&self) -> RequestCounts {
        self.lock().counts(self.now())
    }

    pub(super) fn now(&self) -> ClockMillis {
        self.clock.now()
    }

    pub(super) fn spec(&self) -> Arc<ServiceSpec> {
        self.spec.load_full()
    }

    pub(super) fn secret(&self) -> &SecretStore {
        &self.secret
    }

    pub(super) fn identity(&self) -> AgentIdentity {
        self.identity
    }

    pub(super) fn upstream(&self) -> SocketAddrV4 {
        self.upstream
    }

    pub(super) fn open_work(&self) -> &Arc<OpenWorkGauge> {
        &self.open_work
    }

    pub(super) fn socket(&self) -> &Arc<TunnelSocket> {
        &self.socket
    }

    pub(super) fn load(&self) -> TargetLoad {
        self.load_gauge.read()
    }

    pub(super) fn cut_signal(&self) -> watch::Receiver<bool> {
        self.cut.subscribe()
    }

    /// Wakes the requests that wait for the end of a run.
    pub(super) fn wake_waiters(&self) {
        self.settled.send_modify(|count| *count += 1);
    }

    pub(super) fn settled_signal(&self) -> watch::Receiver<u64> {
        self.settled.subscribe()
    }

    /// Returns the other targets of the service.
    pub(super) fn peers(&self) -> Vec<TargetEntry> {
        let table = self.routes.table().load();
        table
            .targets(self.service)
            .map(|(_, entry)| *entry)
            .filter(|entry| entry.key != self.identity.target)
            .collect()
    }

    /// Returns a registered peer.
    pub(super) fn peer(&self, target: TargetKey) -> Option<TargetEntry> {
        let table = self.routes.table().load();
        table
            .target(self.service, target)
            .filter(|entry| entry.key != self.identity.target)
    }

    /// Counts a request that came from a caller.
    pub(super) fn record_request(&self) {
        let now = self.now();
        self.lock().budget.record_request(now);
    }

    /// Passes an event to a request's state machine; returns its actions.
    pub(super) fn handle_event(
        &self,
        machine: &mut RequestMachine,
        event: RequestEvent,
    ) -> Vec<RequestAction> {
        let now = self.now();
        machine.handle(event, &mut self.lock().budget, now)
    }

    /// Requests a local slot; if it must wait and `claims_peers` is set, also
    /// claims slots at peers.
    pub(super) fn request_slot(
        self: &Arc<Self>,
        request: SlotRequest,
        claims_peers: bool,
    ) -> SlotWait {
        let now = self.now();
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let CoordinatorState { broker, peers, .. } = &mut *state;
        let peers = claims_peers.then_some(peers.as_slice());
        let (verdict, output) = broker.request(request, peers, rand::random(), now);
        let mut waiter = None;
        let outcome = match verdict {
            SlotVerdict::Run(slot) => Some(WaitOutcome::Slot(slot)),
            SlotVerdict::Refuse(refusal) => Some(WaitOutcome::Refused(refusal)),
            SlotVerdict::Wait(key) => {
                waiter = Some(key);
                None
            }
        };
        match (outcome, waiter) {
            (Some(outcome), _) => {
                // Can't fail: the receiver is still alive.
                let _ = sender.send(outcome);
            }
            (None, Some(key)) => {
                state.waiters.insert(key, sender);
                self.work.notify_one();
            }
            (None, None) => {}
        }
        self.apply_output(&mut state, output);
        drop(state);
        SlotWait::new(Arc::clone(self), waiter, receiver)
    }

    /// Binds a peer's request to the slot granted to its claim.
    pub(super) fn bind(self: &Arc<Self>, key: ClaimKey) -> Option<SlotPermit> {
        match self.lock().broker.bind(key) {
            BindVerdict::Bound(slot) => Some(SlotPermit::new(Arc::clone(self), slot)),
            BindVerdict::Unknown => None,
        }
    }

    /// Opens a stream; returns `None` at the limit.
    pub(super) fn open_stream(self: &Arc<Self>) -> Option<StreamPermit> {
        match self.lock().streams.open() {
            OpenVerdict::Open => Some(StreamPermit::new(Arc::clone(self))),
            OpenVerdict::Full => None,
        }
    }

    pub(super) fn close_stream(&self) {
        self.lock().streams.close();
    }

    pub(super) fn leave_queue(&self, waiter: WaiterKey) {
        let mut state = self.lock();
        state.waiters.remove(waiter);
        let output = state.broker.withdraw(waiter);
        self.apply_output(&mut state, output);
    }

    pub(super) fn release(&self, slot: SlotKey) {
        let now = self.now();
        let mut state = self.lock();
        let output = state.broker.release(slot, now);
        self.apply_output(&mut state, output);
    }

    /// Handles a frame of the claim protocol.
    pub(super) fn receive(&self, frame: ClaimFrame) {
        let now = self.now();
        let mut state = self.lock();
        let output = state.broker.receive(frame, now);
        self.apply_output(&mut state, output);
        self.work.notify_one();
    }

    /// Runs due timers; returns whether requests wait or claims are open.
    pub(super) fn advance(&self) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let CoordinatorState { broker, peers, .. } = &mut *state;
        let output = broker.advance(peers, rand::random(), now);
        self.apply_output(&mut state, output);
        let waiting = state.broker.counts().waiting > 0;
        waiting || state.broker.claims() != (0, 0)
    }

    /// Waits until a request is queued or a claim frame arrives.
    pub(super) async fn wait_for_work(&self) {
        self.work.notified().await;
    }

    fn peer_views(&self) -> Vec<PeerView> {
        self.peers()
            .into_iter()
            .filter(|entry| entry.phase != TargetPhase::Leaving)
            .map(|entry| {
                let load = self.socket.peer_load(entry.key);
                PeerView {
                    target: entry.key,
                    request_load_permille: load
                        .map_or(0, |report| report.load.request_load_permille()),
                    reported_at: load.map(|report| report.reported_at),
                }
            })
            .collect()
    }

    /// Sends the broker's frames and wakes requests.
    ///
    /// The caller holds the lock, so that outputs are applied in order.
    fn apply_output(&self, state: &mut CoordinatorState, output: BrokerOutput) {
        let mut pending = vec![output];
        while let Some(output) = pending.pop() {
            for frame in output.frames {
                let message = PeerMessage::Claim(frame.frame);
                self.socket.send_peer(frame.to, &message.encode());
            }
            for (waiter, outcome) in wait_outcomes(output.events, output.grants) {
                let sender = state.waiters.remove(waiter);
                let undelivered = sender.is_none_or(|sender| sender.send(outcome).is_err());
                if undelivered && let WaitOutcome::Slot(slot) = outcome {
                    pending.push(state.broker.release(slot, self.now()));
                }
            }
        }
        let counts = state.broker.counts();
        self.load_gauge
            .set_requests(u32::from(counts.running) + u32::from(counts.waiting));
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, CoordinatorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn wait_outcomes(
    events: Vec<SlotEvent>,
    grants: Vec<PeerGrant>,
) -> impl Iterator<Item = (WaiterKey, WaitOutcome)> {
    let from_events = events.into_iter().map(|event| match event {
        SlotEvent::Started { waiter, slot } => (waiter, WaitOutcome::Slot(slot)),
        SlotEvent::Refused { waiter, refusal } => (waiter, WaitOutcome::Refused(refusal)),
    });
    let from_grants = grants
        .into_iter()
        .map(|grant| (grant.waiter, WaitOutcome::Peer(grant)));
    from_events.chain(from_grants)
}
