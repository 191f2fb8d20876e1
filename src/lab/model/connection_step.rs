use rand::Rng;

use super::{
    AcceptRule, ConnectionKey, LabModel, MessageKind, ModelEvent, ModelMicros, StationPhase,
    SystemProfile, lab_model::domain_of,
};

impl LabModel {
    /// The candidates that the hash names for a first packet.
    const CHAIN: usize = 3;
    /// The time after which a caller resends a first packet.
    const FIRST_RESEND: ModelMicros = ModelMicros::from_seconds(1);

    /// Lets a further caller connect.
    pub(super) fn connect_caller(&mut self) {
        let key = self.pool.insert();
        self.reconnect(key);
    }

    /// Lets a caller connect anew.
    pub(super) fn reconnect(&mut self, key: ConnectionKey) {
        let mut chain = self.draw_chain();
        if self.setup.accept == AcceptRule::LaggingReport && chain.len() > 1 {
            let reported = |target: usize| self.stations[target].reported;
            if reported(chain[1]) < reported(chain[0]) {
                chain.swap(0, 1);
            }
        }
        if let Some(connection) = self.pool.get_mut(key) {
            connection.home = None;
            connection.chain = chain;
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
        let place = connection.place;
        let next = connection.chain.get(place + 1).copied();
        let station = &self.stations[target];
        let is_full = station.connections.len() >= SystemProfile::CONNECTIONS;
        if station.phase == StationPhase::Leaving || is_full {
            self.offer(key, place + 1);
            return;
        }
        match (self.setup.accept, next) {
            (AcceptRule::Threshold { percent }, Some(_)) if self.is_over(target, percent) => {
                self.offer(key, place + 1);
            }
            (AcceptRule::FreshProbe, Some(next)) if place == 0 => {
                let kind = MessageKind::LoadProbe(key);
                self.send(target, next, kind);
            }
            _ => self.accept(target, key),
        }
    }

    /// Tells whether a target holds more than its share of the last reports.
    fn is_over(&self, target: usize, percent: u32) -> bool {
        let own = self.stations[target].connections.len();
        let peers: Vec<usize> = (0..self.stations.len())
            .filter(|&peer| peer != target && self.listed[peer])
            .map(|peer| self.stations[peer].reported)
            .collect();
        let total = peers.iter().sum::<usize>() + own;
        let share = total as f64 / (peers.len() + 1) as f64;
        own as f64 > share * f64::from(percent) / 100.0 + 1.0
    }

    /// Takes the reply of the second candidate at the first one.
    pub(super) fn weigh_reply(&mut self, target: usize, key: ConnectionKey, other: usize) {
        if other < self.stations[target].connections.len() {
            self.offer(key, 1);
        } else {
            self.accept(target, key);
        }
    }

    /// Keeps a connection at a target.
    pub(super) fn accept(&mut self, target: usize, key: ConnectionKey) {
        let Some(connection) = self.pool.get_mut(key) else {
            return;
        };
        if connection.home.is_none() {
            connection.home = Some(target);
            self.stations[target].connections.push(key);
        }
    }

    /// Notes what all targets report, and enters the next report.
    pub(super) fn report_loads(&mut self) {
        for station in &mut self.stations {
            if station.is_reachable() {
                station.reported = station.connections.len();
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
