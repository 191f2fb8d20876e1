use rand::Rng;

use super::{
    AcceptRule, CallerKey, LabModel, MessageKind, ModelEvent, ModelMicros, lab_model::domain_of,
};
use crate::agent::admission::{
    AdmissionVerdict, CandidatePosition, ClientCid, ConnectionAttempt, PeerLoad, TargetLoad,
};

impl LabModel {
    /// The number of candidates for a first packet.
    const CANDIDATES: usize = 3;
    /// The time after which a caller resends a first packet.
    const FIRST_PACKET_RESEND: ModelMicros = ModelMicros::from_seconds(1);
    /// The mean lifetime of a connection, shortened so that runs contain new connections.
    const MEAN_LIFETIME: ModelMicros = ModelMicros::from_seconds(300);

    /// Adds a caller and connects it.
    pub(super) fn connect_caller(&mut self) {
        let key = self.population.insert();
        self.reconnect(key);
    }

    /// Opens a new connection for a caller.
    pub(super) fn reconnect(&mut self, key: CallerKey) {
        let candidates = self.draw_candidates();
        let cid = self.rng.random();
        if let Some(caller) = self.population.get_mut(key) {
            caller.home = None;
            caller.candidates = candidates;
            caller.cid = cid;
        }
        self.send_first_packet(key, 0);
    }

    /// Draws candidates, each in a failure domain not used yet, while there is one.
    fn draw_candidates(&mut self) -> Vec<usize> {
        let mut rest = self.draw_peers(usize::MAX, usize::MAX);
        let mut candidates: Vec<usize> = Vec::with_capacity(Self::CANDIDATES);
        while candidates.len() < Self::CANDIDATES && !rest.is_empty() {
            let is_other_domain = |target: &usize| {
                let domain = domain_of(*target);
                candidates
                    .iter()
                    .all(|&earlier| domain_of(earlier) != domain)
            };
            let index = rest.iter().position(is_other_domain).unwrap_or(0);
            candidates.push(rest.remove(index));
        }
        candidates
    }

    /// Sends a first packet to the candidate at `position`.
    pub(super) fn send_first_packet(&mut self, key: CallerKey, position: usize) {
        let Some(caller) = self.population.get_mut(key) else {
            return;
        };
        caller.position = position;
        let Some(&target) = caller.candidates.get(position) else {
            self.schedule_in(Self::FIRST_PACKET_RESEND, ModelEvent::Reconnect(key));
            return;
        };
        if !self.stations[target].is_reachable() {
            self.schedule_in(
                Self::FIRST_PACKET_RESEND,
                ModelEvent::NextCandidate(key, position + 1),
            );
            return;
        }
        if position > 0 && self.is_measuring() {
            self.metrics.passed_on += 1;
        }
        self.send(target, target, MessageKind::FirstPacket(key));
    }

    /// Decides on a new connection at a candidate, or probes the next one first.
    pub(super) fn handle_first_packet(&mut self, target: usize, key: CallerKey) {
        let Some(caller) = self.population.get(key) else {
            return;
        };
        let next = caller.candidates.get(caller.position + 1).copied();
        match (self.setup.accept, next) {
            (AcceptRule::FreshProbe { .. }, Some(next)) => {
                self.send(target, next, MessageKind::LoadProbe(key));
            }
            (AcceptRule::LaggingReport { .. }, Some(next)) => {
                let report = self.stations[next].reported;
                self.decide_admission(target, key, report);
            }
            _ => self.decide_admission(target, key, None),
        }
    }

    /// Decides on a new connection with the probed load of the next candidate.
    pub(super) fn handle_load_reply(&mut self, target: usize, key: CallerKey, load: TargetLoad) {
        let reported_at = self.now.to_clock();
        self.decide_admission(target, key, Some(PeerLoad { load, reported_at }));
    }

    fn decide_admission(&mut self, target: usize, key: CallerKey, next_load: Option<PeerLoad>) {
        let Some(caller) = self.population.get(key) else {
            return;
        };
        let is_last = caller.position + 1 >= caller.candidates.len();
        let Some(cid) = ClientCid::new(&caller.cid.to_be_bytes()) else {
            return;
        };
        let attempt = ConnectionAttempt {
            cid,
            position: if is_last {
                CandidatePosition::Last
            } else {
                CandidatePosition::HasNext
            },
            next_load,
        };
        let now = self.now.to_clock();
        let station = &mut self.stations[target];
        let load = station.load();
        match station.gate.admit(attempt, load, now) {
            AdmissionVerdict::Accept => self.accept_connection(target, key),
            AdmissionVerdict::PassOn => {
                let position = caller.position + 1;
                self.send_first_packet(key, position);
            }
            AdmissionVerdict::Refuse { retry_after } => {
                let delay = ModelMicros::from_millis(retry_after.millis());
                self.schedule_in(delay, ModelEvent::Reconnect(key));
            }
        }
    }

    /// Adds a connection to a target, unless another one has accepted it.
    pub(super) fn accept_connection(&mut self, target: usize, key: CallerKey) {
        let Some(caller) = self.population.get_mut(key) else {
            return;
        };
        if caller.home.is_none() {
            caller.home = Some(target);
            caller.generation += 1;
            let generation = caller.generation;
            self.stations[target].connections.push(key);
            let lifetime = self.draw_lifetime();
            self.schedule_in(lifetime, ModelEvent::Close(key, generation));
        }
    }

    fn draw_lifetime(&mut self) -> ModelMicros {
        let uniform: f64 = self.rng.random();
        Self::MEAN_LIFETIME.scaled(-(1.0 - uniform).ln())
    }

    /// Closes a connection whose lifetime is over; the caller connects anew.
    pub(super) fn close_connection(&mut self, key: CallerKey, generation: u32) {
        let Some(caller) = self.population.get(key) else {
            return;
        };
        let Some(home) = caller.home.filter(|_| caller.generation == generation) else {
            return;
        };
        if self.is_finishing {
            return;
        }
        self.stations[home]
            .connections
            .retain(|&other| other != key);
        self.reconnect(key);
    }

    /// Records the load reports of all targets and schedules the next ones.
    pub(super) fn report_loads(&mut self) {
        for station in &mut self.stations {
            if station.is_reachable() {
                station.reported = Some(PeerLoad {
                    load: station.load(),
                    reported_at: self.now.to_clock(),
                });
            }
        }
        if !self.is_finishing {
            self.schedule_in(self.setup.report_period, ModelEvent::ReportLoads);
        }
    }

    /// Moves all callers of a leaving target to new connections within `span`.
    pub(super) fn move_callers(&mut self, target: usize, span: ModelMicros) {
        for key in std::mem::take(&mut self.stations[target].connections) {
            self.metrics.moved += 1;
            let delay = ModelMicros::new(self.rng.random_range(0..=span.micros()));
            self.schedule_in(delay, ModelEvent::Reconnect(key));
        }
    }

    /// Breaks all connections of a target; callers detect it after 1 to 1.5 times
    /// `detection_time`.
    pub(super) fn break_connections(&mut self, target: usize, detection_time: ModelMicros) {
        for key in std::mem::take(&mut self.stations[target].connections) {
            self.metrics.broken += 1;
            let jitter = ModelMicros::new(self.rng.random_range(0..=detection_time.micros() / 2));
            self.schedule_in(detection_time.after(jitter), ModelEvent::Reconnect(key));
        }
    }
}
