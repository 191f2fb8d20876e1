use rand::{Rng, SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use super::{
    CallerPopulation, CentralQueue, EventQueue, FaultKind, MessageKind, ModelEvent, ModelMessage,
    ModelMicros, ModelRequest, RequestKey, RunMetrics, RunReport, RunSetup, ServiceProfile,
    StationPhase, TargetStation,
};

/// The state of one simulation run.
#[derive(Debug)]
pub(crate) struct LabModel {
    pub(super) setup: RunSetup,
    /// The generator for draws that depend on the rules.
    pub(super) rng: SmallRng,
    /// The generator for arrivals and service times, which are the same under all rules.
    pub(super) arrival_rng: SmallRng,
    pub(super) events: EventQueue,
    pub(super) now: ModelMicros,
    pub(super) stations: Vec<TargetStation>,
    /// Whether balancers and peers consider each target available.
    pub(super) listed: Vec<bool>,
    pub(super) population: CallerPopulation,
    pub(super) requests: SlotMap<RequestKey, ModelRequest>,
    /// Used only under `RelayRule::CentralQueue`.
    pub(super) central_queue: CentralQueue,
    pub(super) metrics: RunMetrics,
    /// The current request rate as a multiple of the base rate.
    pub(super) rate_factor: f64,
    /// Whether arrivals have ended and only open requests are left.
    pub(super) is_finishing: bool,
    /// All resent requests, also those still to arrive.
    pub(super) resends: Vec<ModelRequest>,
}

impl LabModel {
    /// The mean number of requests in a burst.
    pub(super) const BURST_REQUESTS: u32 = 4;
    /// The mean time between the requests of a burst.
    pub(super) const BURST_GAP: ModelMicros = ModelMicros::from_millis(10);
    /// The fraction of the warm-up in which the first callers connect.
    const CONNECT_SHARE: f64 = 0.5;
    /// Mixed into the seed, so that the two generators differ.
    const ARRIVAL_SEED_MASK: u64 = 0x5eed;

    /// Creates the targets and schedules the first events.
    pub(crate) fn new(setup: RunSetup) -> Self {
        let count = setup.target_count();
        let initial_targets = setup.service.targets();
        let phase_of = |target| {
            if target < initial_targets {
                StationPhase::Serving
            } else {
                StationPhase::Absent
            }
        };
        let stations = (0..count)
            .map(|target| TargetStation::new(&setup, phase_of(target)))
            .collect();
        let mut model = Self {
            rng: SmallRng::seed_from_u64(setup.seed),
            arrival_rng: SmallRng::seed_from_u64(setup.seed ^ Self::ARRIVAL_SEED_MASK),
            events: EventQueue::default(),
            now: ModelMicros::ZERO,
            listed: (0..count).map(|target| target < initial_targets).collect(),
            stations,
            population: CallerPopulation::default(),
            requests: SlotMap::with_key(),
            central_queue: CentralQueue::default(),
            metrics: RunMetrics::new(count),
            rate_factor: 1.0,
            is_finishing: false,
            resends: Vec::new(),
            setup,
        };
        model.schedule_first_events();
        model
    }

    /// Runs until no event is left and returns the results.
    pub(crate) fn run(mut self) -> RunReport {
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            self.dispatch(event);
        }
        let serving: Vec<(usize, usize)> = self
            .stations
            .iter()
            .enumerate()
            .filter(|(_, station)| station.phase == StationPhase::Serving)
            .map(|(target, station)| (target, station.connections.len()))
            .collect();
        self.metrics.report(&self.setup, &serving)
    }

    fn schedule_first_events(&mut self) {
        let span = self.setup.warm_up.scaled(Self::CONNECT_SHARE);
        self.schedule_callers(self.setup.callers, span);
        self.events.push(ModelMicros::ZERO, ModelEvent::Burst);
        self.events.push(ModelMicros::ZERO, ModelEvent::ReportLoads);
        for fault in self.setup.faults.clone() {
            self.events.push(fault.at, ModelEvent::Fault(fault.kind));
        }
    }

    /// Schedules the connects of `count` callers within `span` from now.
    pub(super) fn schedule_callers(&mut self, count: usize, span: ModelMicros) {
        for _ in 0..count {
            let delay = ModelMicros::new(self.arrival_rng.random_range(0..=span.micros()));
            self.schedule_in(delay, ModelEvent::Connect);
        }
    }

    fn dispatch(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Burst => self.start_burst(),
            ModelEvent::BurstRequest(caller, remaining) => self.burst_request(caller, remaining),
            ModelEvent::Connect => self.connect_caller(),
            ModelEvent::Close(caller, generation) => self.close_connection(caller, generation),
            ModelEvent::Reconnect(caller) => self.reconnect(caller),
            ModelEvent::NextCandidate(caller, position) => self.send_first_packet(caller, position),
            ModelEvent::Finish {
                target,
                request,
                epoch,
            } => self.finish_request(target, request, epoch),
            ModelEvent::Deliver(message) => self.deliver(message),
            ModelEvent::HoldExpired(target, request) => self.release_held_slot(target, request),
            ModelEvent::ProbeTimeout(request) => self.finish_probe(request),
            ModelEvent::StealRetry(target) => {
                self.stations[target].is_stealing = false;
                self.try_steal(target);
            }
            ModelEvent::ReportLoads => self.report_loads(),
            ModelEvent::CallerTimeout(request) => self.handle_caller_timeout(request),
            ModelEvent::WarmUpEnded(target) => self.stations[target].speed = 1.0,
            ModelEvent::Resend(index) => self.handle_resend(index),
            ModelEvent::ListingChanged(target, is_listed) => self.listed[target] = is_listed,
            ModelEvent::Fault(kind) => self.apply_fault(kind),
        }
    }

    /// Schedules an event `delay` from now.
    pub(super) fn schedule_in(&mut self, delay: ModelMicros, event: ModelEvent) {
        self.events.push(self.now.after(delay), event);
    }

    /// Returns whether the warm-up is over.
    pub(super) fn is_measuring(&self) -> bool {
        self.now >= self.setup.warm_up
    }

    /// Sends a message with a random delay; unreliable messages may be lost.
    pub(super) fn send(&mut self, from: usize, to: usize, kind: MessageKind) {
        if self.is_measuring() && !matches!(kind, MessageKind::FirstPacket(_)) {
            self.metrics.messages += 1;
        }
        let mut delay = self.message_delay(from, to);
        while self.rng.random_range(0..1_000) < self.setup.lost_per_mille {
            if !kind.is_reliable() {
                return;
            }
            delay = delay.after(Self::RETRANSMIT_DELAY);
        }
        let message = ModelMessage { from, to, kind };
        self.schedule_in(delay, ModelEvent::Deliver(message));
    }

    /// The time after which a lost reliable message is retransmitted.
    const RETRANSMIT_DELAY: ModelMicros = ModelMicros::from_millis(20);
    /// The largest random addition to a delay, as a fraction of it.
    const JITTER: f64 = 0.25;

    fn message_delay(&mut self, from: usize, to: usize) -> ModelMicros {
        let base = if domain_of(from) == domain_of(to) {
            ServiceProfile::INTRA_DOMAIN_DELAY
        } else {
            self.setup.domain_delay
        };
        base.scaled(1.0 + Self::JITTER * self.rng.random::<f64>())
    }

    /// Draws a time from an exponential distribution, with the arrivals generator.
    pub(super) fn draw_exponential(&mut self, mean: ModelMicros) -> ModelMicros {
        let uniform: f64 = self.arrival_rng.random();
        mean.scaled(-(1.0 - uniform).ln())
    }

    /// Draws up to `count` distinct listed targets other than `own`.
    pub(super) fn draw_peers(&mut self, own: usize, count: usize) -> Vec<usize> {
        let mut peers: Vec<usize> = (0..self.stations.len())
            .filter(|&target| target != own && self.listed[target])
            .collect();
        let count = count.min(peers.len());
        for index in 0..count {
            let other = self.rng.random_range(index..peers.len());
            peers.swap(index, other);
        }
        peers.truncate(count);
        peers
    }

    /// Applies a change of the offered load; ignores all other kinds.
    pub(super) fn change_load(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Rate { factor } => self.rate_factor = factor,
            FaultKind::Callers { count, over } => self.schedule_callers(count, over),
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
    target % ServiceProfile::FAILURE_DOMAINS
}
