use std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use arc_swap::ArcSwap;
use tokio::sync::{Notify, oneshot, watch};

use super::{
    DeskCounts, DeskState, PeerMessage, SlotPermit, SlotWait, StreamPermit, UpstreamPool, WaitEnd,
};
use crate::{
    agent::{
        admission::TargetLoad,
        claim::{
            AgentIdentity, BindVerdict, BrokerOutput, ClaimFrame, ClaimKey, PeerGrant, PeerView,
        },
        endpoint::{LoadGauge, TargetIdentity, TunnelSocket},
        node::OpenGauge,
        request::{RequestAction, RequestEvent, RequestMachine},
        slot::{CountVerdict, SlotEvent, SlotKey, SlotLimits, SlotRequest, SlotVerdict, WaiterKey},
    },
    clock::{ClockMillis, ProcessClock},
    key::{ServiceNumber, TargetKey},
    manifest::ServiceSpec,
    route::{TargetEntry, TargetPhase},
    secret::SecretStore,
    watch::WatchState,
};

/// What every request at this agent shares: slots, tickets, retries.
#[derive(Debug)]
pub(crate) struct RequestDesk {
    own: AgentIdentity,
    service: ServiceNumber,
    clock: ProcessClock,
    secret: SecretStore,
    routes: Arc<WatchState>,
    socket: Arc<TunnelSocket>,
    gauge: Arc<LoadGauge>,
    open: Arc<OpenGauge>,
    pool: Arc<UpstreamPool>,
    spec: ArcSwap<ServiceSpec>,
    state: Mutex<DeskState>,
    settled: watch::Sender<u64>,
    cut: watch::Sender<bool>,
    work: Notify,
}

impl RequestDesk {
    /// Creates the desk of an agent that has just started.
    pub(crate) fn new(
        identity: TargetIdentity,
        spec: ServiceSpec,
        upstream: SocketAddrV4,
        secret: SecretStore,
        routes: Arc<WatchState>,
        (socket, gauge, open): (Arc<TunnelSocket>, Arc<LoadGauge>, Arc<OpenGauge>),
    ) -> Arc<Self> {
        let own = AgentIdentity {
            target: identity.target,
            incarnation: identity.incarnation,
        };
        let state = DeskState::new(own, identity.service, &spec);
        Arc::new(Self {
            own,
            service: identity.service,
            clock: socket.clock(),
            secret,
            routes,
            socket,
            gauge,
            open,
            pool: UpstreamPool::new(upstream),
            spec: ArcSwap::from_pointee(spec),
            state: Mutex::new(state),
            settled: watch::Sender::new(0),
            cut: watch::Sender::new(false),
            work: Notify::new(),
        })
    }

    /// Puts a changed service in force, and the peers that are registered.
    pub(crate) fn set_service(&self, spec: &ServiceSpec) {
        if **self.spec.load() != *spec {
            self.spec.store(Arc::new(spec.clone()));
        }
        let peers = self.view_peers();
        let mut state = self.lock();
        state.broker.set_limits(SlotLimits::new(spec));
        state.budget.set_percent(spec.retry_percent);
        state.streams.set_limit(spec.limits.connections);
        state.peers = peers;
    }

    /// Breaks off everything that is open, on the operator's word.
    pub(crate) fn cut(&self) {
        self.cut.send_replace(true);
    }

    /// Returns what the desk holds.
    pub(crate) fn counts(&self) -> DeskCounts {
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

    pub(super) fn own(&self) -> AgentIdentity {
        self.own
    }

    pub(super) fn pool(&self) -> &Arc<UpstreamPool> {
        &self.pool
    }

    pub(super) fn open_gauge(&self) -> &Arc<OpenGauge> {
        &self.open
    }

    pub(super) fn socket(&self) -> &Arc<TunnelSocket> {
        &self.socket
    }

    pub(super) fn load(&self) -> TargetLoad {
        self.gauge.read()
    }

    pub(super) fn cut_signal(&self) -> watch::Receiver<bool> {
        self.cut.subscribe()
    }

    /// Wakes whoever waits for the end of a run.
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
            .filter(|entry| entry.key != self.own.target)
            .collect()
    }

    /// Returns a registered peer.
    pub(super) fn peer(&self, target: TargetKey) -> Option<TargetEntry> {
        let table = self.routes.table().load();
        table
            .target(self.service, target)
            .filter(|entry| entry.key != self.own.target)
    }

    /// Counts a request that came from a caller.
    pub(super) fn record_request(&self) {
        let now = self.now();
        self.lock().budget.record_request(now);
    }

    /// Lets a request's machine react to an event.
    pub(super) fn step(
        &self,
        machine: &mut RequestMachine,
        event: RequestEvent,
    ) -> Vec<RequestAction> {
        let now = self.now();
        machine.handle(event, &mut self.lock().budget, now)
    }

    /// Asks for a slot here, and for claims at peers if it has to wait.
    pub(super) fn request_slot(
        self: &Arc<Self>,
        request: SlotRequest,
        claims_peers: bool,
    ) -> SlotWait {
        let now = self.now();
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let peers = if claims_peers {
            std::mem::take(&mut state.peers)
        } else {
            Vec::new()
        };
        let draw = rand::random();
        let (verdict, output) = state.broker.request(request, &peers, draw, now);
        if claims_peers {
            state.peers = peers;
        }
        let mut waiter = None;
        let end = match verdict {
            SlotVerdict::Run(slot) => Some(WaitEnd::Slot(slot)),
            SlotVerdict::Refuse(refusal) => Some(WaitEnd::Refused(refusal)),
            SlotVerdict::Wait(key) => {
                waiter = Some(key);
                None
            }
        };
        match (end, waiter) {
            (Some(end), _) => {
                // The receiver is still here.
                let _ = sender.send(end);
            }
            (None, Some(key)) => {
                state.waiters.insert(key, sender);
                self.work.notify_one();
            }
            (None, None) => {}
        }
        self.follow(&mut state, output);
        drop(state);
        SlotWait::new(Arc::clone(self), waiter, receiver)
    }

    /// Puts a peer's request on the slot that was granted to it.
    pub(super) fn bind(self: &Arc<Self>, key: ClaimKey) -> Option<SlotPermit> {
        match self.lock().broker.bind(key) {
            BindVerdict::Bound(slot) => Some(SlotPermit::new(Arc::clone(self), slot)),
            BindVerdict::Unknown => None,
        }
    }

    /// Counts an open stream, unless there are too many.
    pub(super) fn open_stream(self: &Arc<Self>) -> Option<StreamPermit> {
        match self.lock().streams.open() {
            CountVerdict::Open => Some(StreamPermit::new(Arc::clone(self))),
            CountVerdict::Full => None,
        }
    }

    pub(super) fn close_stream(&self) {
        self.lock().streams.close();
    }

    pub(super) fn leave_queue(&self, waiter: WaiterKey) {
        let mut state = self.lock();
        state.waiters.remove(waiter);
        let output = state.broker.withdraw(waiter);
        self.follow(&mut state, output);
    }

    pub(super) fn release(&self, slot: SlotKey) {
        let now = self.now();
        let mut state = self.lock();
        let output = state.broker.release(slot, now);
        self.follow(&mut state, output);
    }

    /// Takes a message about a claim.
    pub(super) fn receive(&self, frame: ClaimFrame) {
        let now = self.now();
        let mut state = self.lock();
        let output = state.broker.receive(frame, now);
        self.follow(&mut state, output);
        self.work.notify_one();
    }

    /// Does what is due; returns whether anything waits or is claimed.
    pub(super) fn advance(&self) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let output = state.broker.advance(now);
        self.follow(&mut state, output);
        let waiting = state.broker.counts().waiting > 0;
        waiting || state.broker.claims() != (0, 0)
    }

    /// Returns once something may be due soon.
    pub(super) async fn work_begun(&self) {
        self.work.notified().await;
    }

    fn view_peers(&self) -> Vec<PeerView> {
        self.peers()
            .into_iter()
            .filter(|entry| entry.phase != TargetPhase::Leaving)
            .map(|entry| {
                let load = self.socket.peer_load(entry.key);
                PeerView {
                    target: entry.key,
                    work_permille: load.map_or(0, |report| report.load.work_permille()),
                    seen: load.map(|report| report.seen),
                }
            })
            .collect()
    }

    /// Wakes requests and sends messages; `state` is held for the order alone.
    fn follow(&self, state: &mut DeskState, output: BrokerOutput) {
        let mut pending = vec![output];
        while let Some(output) = pending.pop() {
            for send in output.sends {
                let message = PeerMessage::Claim(send.frame);
                self.socket.send_peer(send.to, &message.encode());
            }
            for (waiter, end) in ends_of(output.events, output.grants) {
                let sender = state.waiters.remove(waiter);
                let unheard = sender.is_none_or(|sender| sender.send(end).is_err());
                if unheard && let WaitEnd::Slot(slot) = end {
                    pending.push(state.broker.release(slot, self.now()));
                }
            }
        }
        let counts = state.broker.counts();
        self.gauge
            .set_requests(u32::from(counts.running) + u32::from(counts.waiting));
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn ends_of(
    events: Vec<SlotEvent>,
    grants: Vec<PeerGrant>,
) -> impl Iterator<Item = (WaiterKey, WaitEnd)> {
    let from_events = events.into_iter().map(|event| match event {
        SlotEvent::Started { waiter, slot } => (waiter, WaitEnd::Slot(slot)),
        SlotEvent::Refused { waiter, refusal } => (waiter, WaitEnd::Refused(refusal)),
    });
    let from_grants = grants
        .into_iter()
        .map(|grant| (grant.waiter, WaitEnd::Peer(grant)));
    from_events.chain(from_grants)
}
