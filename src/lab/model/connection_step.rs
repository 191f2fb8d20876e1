use rand::Rng;

use super::{
    AcceptRule, ConnectionKey, LabModel, MessageKind, ModelEvent, ModelMicros, lab_model::domain_of,
};
use crate::agent::admission::{
    AdmissionVerdict, CandidatePlace, ClientCid, ConnectionOffer, PeerLoad, TargetLoad,
};

impl LabModel {
    /// The candidates that the hash names for a first packet.
    const CHAIN: usize = 3;
    /// The time after which a caller resends a first packet.
    const FIRST_RESEND: ModelMicros = ModelMicros::from_seconds(1);
    /// The mean life of a connection, shortened so that runs see new ones.
    const MEAN_LIFE: ModelMicros = ModelMicros::from_seconds(300);

    /// Lets a further caller connect.
    pub(super) fn connect_caller(&mut self) {
        let key = self.pool.insert();
        self.reconnect(key);
    }

    /// Lets a caller connect anew.
    pub(super) fn reconnect(&mut self, key: ConnectionKey) {
        let chain = self.draw_chain();
        let cid = self.random.random();
        if let Some(connection) = self.pool.get_mut(key) {
            connection.home = None;
            connection.chain = chain;
            connection.cid = cid;
        }
        self.offer(key, 0);
    }

    /// Draws candidates, each next one in another failure domain if there is one.
    fn draw_chain(&mut self) -> Vec<usize> {
        let mut rest = self.draw_peers(usize::MAX, usize::MAX);
        let mut chain: Vec<usize> = Vec::with_capacity(Self::CHAIN);
        while chain.len() < Self::CHAIN && !rest.is_empty() {
            let is_apart = |target: &usize| {
                let domain = domain_of(*target);
                chain.iter().all(|&earlier| domain_of(earlier) != domain)
            };
            let place = rest.iter().position(is_apart).unwrap_or(0);
            chain.push(rest.remove(place));
        }
        chain
    }

    /// Offers a connection to the candidate at `place` of its chain.
    pub(super) fn offer(&mut self, key: ConnectionKey, place: usize) {
        let Some(connection) = self.pool.get_mut(key) else {
            return;
        };
        connection.place = place;
        let Some(&target) = connection.chain.get(place) else {
            self.enter_in(Self::FIRST_RESEND, ModelEvent::Reconnect(key));
            return;
        };
        if !self.stations[target].is_reachable() {
            self.enter_in(Self::FIRST_RESEND, ModelEvent::OfferAgain(key, place + 1));
            return;
        }
        if place > 0 && self.is_measuring() {
            self.measure.passed += 1;
        }
        self.send(target, target, MessageKind::Offer(key));
    }

    /// Decides on an offered connection at a candidate.
    pub(super) fn weigh_offer(&mut self, target: usize, key: ConnectionKey) {
        let Some(connection) = self.pool.get(key) else {
            return;
        };
        let next = connection.chain.get(connection.place + 1).copied();
        match (self.setup.accept, next) {
            (AcceptRule::FreshProbe { .. }, Some(next)) => {
                self.send(target, next, MessageKind::LoadProbe(key));
            }
            (AcceptRule::LaggingReport { .. }, Some(next)) => {
                let report = self.stations[next].reported;
                self.ask_gate(target, key, report);
            }
            _ => self.ask_gate(target, key, None),
        }
    }

    /// Takes the reply of the next candidate at the present one.
    pub(super) fn weigh_reply(&mut self, target: usize, key: ConnectionKey, load: TargetLoad) {
        let seen = self.now.clock();
        self.ask_gate(target, key, Some(PeerLoad { load, seen }));
    }

    fn ask_gate(&mut self, target: usize, key: ConnectionKey, next: Option<PeerLoad>) {
        let Some(connection) = self.pool.get(key) else {
            return;
        };
        let is_last = connection.place + 1 >= connection.chain.len();
        let Some(cid) = ClientCid::new(&connection.cid.to_be_bytes()) else {
            return;
        };
        let offer = ConnectionOffer {
            cid,
            place: if is_last {
                CandidatePlace::Last
            } else {
                CandidatePlace::Followed
            },
            next,
        };
        let now = self.now.clock();
        let station = &mut self.stations[target];
        let load = station.load();
        match station.gate.admit(offer, load, now) {
            AdmissionVerdict::Accept => self.accept(target, key),
            AdmissionVerdict::PassOn => {
                let place = connection.place + 1;
                self.offer(key, place);
            }
            AdmissionVerdict::Refuse { retry_after } => {
                let wait = ModelMicros::from_millis(retry_after.millis());
                self.enter_in(wait, ModelEvent::Reconnect(key));
            }
        }
    }

    /// Keeps a connection at a target.
    pub(super) fn accept(&mut self, target: usize, key: ConnectionKey) {
        let Some(connection) = self.pool.get_mut(key) else {
            return;
        };
        if connection.home.is_none() {
            connection.home = Some(target);
            connection.renewals += 1;
            let renewals = connection.renewals;
            self.stations[target].connections.push(key);
            let life = self.draw_life();
            self.enter_in(life, ModelEvent::Close(key, renewals));
        }
    }

    fn draw_life(&mut self) -> ModelMicros {
        let share: f64 = self.random.random();
        Self::MEAN_LIFE.scaled(-(1.0 - share).ln())
    }

    /// Ends a connection whose life is over; another caller takes its place.
    pub(super) fn close(&mut self, key: ConnectionKey, renewals: u32) {
        let Some(connection) = self.pool.get(key) else {
            return;
        };
        let Some(home) = connection.home.filter(|_| connection.renewals == renewals) else {
            return;
        };
        if self.is_closing {
            return;
        }
        self.stations[home]
            .connections
            .retain(|&other| other != key);
        self.reconnect(key);
    }

    /// Notes what all targets report, and enters the next report.
    pub(super) fn report_loads(&mut self) {
        for station in &mut self.stations {
            if station.is_reachable() {
                station.reported = Some(PeerLoad {
                    load: station.load(),
                    seen: self.now.clock(),
                });
            }
        }
        if !self.is_closing {
            self.enter_in(self.setup.report_period, ModelEvent::Report);
        }
    }

    /// Asks all callers of a leaving target to connect elsewhere within `span`.
    pub(super) fn move_callers(&mut self, target: usize, span: ModelMicros) {
        for key in std::mem::take(&mut self.stations[target].connections) {
            self.measure.moved += 1;
            let wait = ModelMicros::new(self.random.random_range(0..=span.micros()));
            self.enter_in(wait, ModelEvent::Reconnect(key));
        }
    }

    /// Breaks all connections of a target; their callers notice after `notice`.
    pub(super) fn break_callers(&mut self, target: usize, notice: ModelMicros) {
        for key in std::mem::take(&mut self.stations[target].connections) {
            self.measure.broken += 1;
            let jitter = ModelMicros::new(self.random.random_range(0..=notice.micros() / 2));
            self.enter_in(notice.after(jitter), ModelEvent::Reconnect(key));
        }
    }
}
