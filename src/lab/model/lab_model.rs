use rand::{Rng, SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use super::{
    CentralLine, ConnectionPool, EventQueue, FaultKind, MessageKind, ModelEvent, ModelMessage,
    ModelMicros, ModelRequest, RequestKey, RunMeasure, RunReport, RunSetup, StationPhase,
    SystemProfile, TargetStation,
};

/// One run of the model: its events, its targets, its callers, its counts.
#[derive(Debug)]
pub(crate) struct LabModel {
    pub(super) setup: RunSetup,
    /// Draws that depend on the rules.
    pub(super) random: SmallRng,
    /// Draws of arrivals and work, which are the same under all rules.
    pub(super) arrivals: SmallRng,
    pub(super) events: EventQueue,
    pub(super) now: ModelMicros,
    pub(super) stations: Vec<TargetStation>,
    /// What balancers and peers believe of each target.
    pub(super) listed: Vec<bool>,
    pub(super) pool: ConnectionPool,
    pub(super) requests: SlotMap<RequestKey, ModelRequest>,
    /// The line of the central queue, when that rule is tried.
    pub(super) central: CentralLine,
    pub(super) measure: RunMeasure,
    /// The share of the usual rate of requests.
    pub(super) rate: f64,
    pub(super) is_closing: bool,
    /// The requests that callers sent again.
    pub(super) resends: Vec<ModelRequest>,
}

impl LabModel {
    /// The mean number of requests in a burst.
    pub(super) const BURST_REQUESTS: u32 = 4;
    /// The mean time between the requests of a burst.
    pub(super) const BURST_GAP: ModelMicros = ModelMicros::from_millis(10);
    /// The share of the warm-up in which the first callers connect.
    const CONNECT_SHARE: f64 = 0.5;
    /// What sets the seed of the arrivals apart.
    const ARRIVAL_SEED: u64 = 0x5eed;

    /// Prepares a run.
    pub(crate) fn new(setup: RunSetup) -> Self {
        let count = setup.target_count();
        let present = setup.system.targets();
        let phase_of = |target| {
            if target < present {
                StationPhase::Serving
            } else {
                StationPhase::Absent
            }
        };
        let stations = (0..count)
            .map(|target| TargetStation::new(&setup, phase_of(target)))
            .collect();
        let mut model = Self {
            random: SmallRng::seed_from_u64(setup.seed),
            arrivals: SmallRng::seed_from_u64(setup.seed ^ Self::ARRIVAL_SEED),
            events: EventQueue::default(),
            now: ModelMicros::ZERO,
            listed: (0..count).map(|target| target < present).collect(),
            stations,
            pool: ConnectionPool::default(),
            requests: SlotMap::with_key(),
            central: CentralLine::default(),
            measure: RunMeasure::new(count),
            rate: 1.0,
            is_closing: false,
            resends: Vec::new(),
            setup,
        };
        model.enter_first_events();
        model
    }

    /// Runs to the end and returns the figures.
    pub(crate) fn run(mut self) -> RunReport {
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            self.step(event);
        }
        let members: Vec<(usize, usize)> = self
            .stations
            .iter()
            .enumerate()
            .filter(|(_, station)| station.phase == StationPhase::Serving)
            .map(|(target, station)| (target, station.connections.len()))
            .collect();
        self.measure.report(&self.setup, &members)
    }

    fn enter_first_events(&mut self) {
        let span = self.setup.warm_up.scaled(Self::CONNECT_SHARE);
        self.enter_callers(self.setup.callers, span);
        self.events.push(ModelMicros::ZERO, ModelEvent::Burst);
        self.events.push(ModelMicros::ZERO, ModelEvent::Report);
        for fault in self.setup.faults.clone() {
            self.events.push(fault.at, ModelEvent::Fault(fault.kind));
        }
    }

    /// Lets `count` callers connect within `span` from now.
    pub(super) fn enter_callers(&mut self, count: usize, span: ModelMicros) {
        for _ in 0..count {
            let wait = ModelMicros::new(self.arrivals.random_range(0..=span.micros()));
            self.enter_in(wait, ModelEvent::Connect);
        }
    }

    fn step(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Burst => self.start_burst(),
            ModelEvent::BurstRequest(connection, left) => self.burst_request(connection, left),
            ModelEvent::Connect => self.connect_caller(),
            ModelEvent::Close(connection, renewals) => self.close(connection, renewals),
            ModelEvent::Reconnect(connection) => self.reconnect(connection),
            ModelEvent::OfferAgain(connection, place) => self.offer(connection, place),
            ModelEvent::Finish {
                target,
                request,
                epoch,
            } => self.finish_request(target, request, epoch),
            ModelEvent::Deliver(message) => self.deliver(message),
            ModelEvent::HoldEnds(target, request) => self.release_hold(target, request),
            ModelEvent::ProbeEnds(request) => self.settle_probe(request),
            ModelEvent::StealAgain(target) => {
                self.stations[target].is_stealing = false;
                self.steal_work(target);
            }
            ModelEvent::Report => self.report_loads(),
            ModelEvent::PatienceEnds(request) => self.lose_patience(request),
            ModelEvent::WarmEnds(target) => self.stations[target].speed = 1.0,
            ModelEvent::Resend(place) => self.arrive_again(place),
            ModelEvent::Listed(target, is_listed) => self.listed[target] = is_listed,
            ModelEvent::Fault(kind) => self.apply_fault(kind),
        }
    }

    /// Enters an event a while from now.
    pub(super) fn enter_in(&mut self, wait: ModelMicros, event: ModelEvent) {
        self.events.push(self.now.after(wait), event);
    }

    /// Tells whether the measures count.
    pub(super) fn is_measuring(&self) -> bool {
        self.now >= self.setup.warm_up
    }

    /// Sends a message; it may be late, and it may be lost.
    pub(super) fn send(&mut self, from: usize, to: usize, kind: MessageKind) {
        if self.is_measuring() && !matches!(kind, MessageKind::Offer(_)) {
            self.measure.messages += 1;
        }
        let mut wait = self.message_delay(from, to);
        while self.random.random_range(0..1_000) < self.setup.lost_per_mille {
            if !kind.is_resent() {
                return;
            }
            wait = wait.after(Self::RESEND_WAIT);
        }
        let message = ModelMessage { from, to, kind };
        self.enter_in(wait, ModelEvent::Deliver(message));
    }

    /// The time after which a lost message on a stream is resent.
    const RESEND_WAIT: ModelMicros = ModelMicros::from_millis(20);
    /// The share by which delays vary.
    const JITTER: f64 = 0.25;

    fn message_delay(&mut self, from: usize, to: usize) -> ModelMicros {
        let base = if domain_of(from) == domain_of(to) {
            SystemProfile::INNER_DELAY
        } else {
            self.setup.domain_delay
        };
        base.scaled(1.0 + Self::JITTER * self.random.random::<f64>())
    }

    /// Draws a time of the arrivals with the given mean from an exponential distribution.
    pub(super) fn draw_exponential(&mut self, mean: ModelMicros) -> ModelMicros {
        let share: f64 = self.arrivals.random();
        mean.scaled(-(1.0 - share).ln())
    }

    /// Draws up to `count` listed targets other than `own`.
    pub(super) fn draw_peers(&mut self, own: usize, count: usize) -> Vec<usize> {
        let mut peers: Vec<usize> = (0..self.stations.len())
            .filter(|&target| target != own && self.listed[target])
            .collect();
        let count = count.min(peers.len());
        for place in 0..count {
            let other = self.random.random_range(place..peers.len());
            peers.swap(place, other);
        }
        peers.truncate(count);
        peers
    }

    /// Applies a fault whose effect is a change of the offered load.
    pub(super) fn change_load(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Rate { factor } => self.rate = factor,
            FaultKind::Callers { count, over } => self.enter_callers(count, over),
            FaultKind::Slow { .. }
            | FaultKind::ColdStart { .. }
            | FaultKind::Drain { .. }
            | FaultKind::Crash { .. }
            | FaultKind::Silence { .. } => {}
        }
    }
}

/// Returns the failure domain of a target.
pub(super) const fn domain_of(target: usize) -> usize {
    target % SystemProfile::FAILURE_DOMAINS
}
