use rand::Rng;

use super::{
    ConnectionKey, LabModel, LineEntry, MessageKind, ModelEvent, ModelMicros, ModelRequest,
    ProbeState, RelayRule, RequestKey, RequestState, RetryHabit, RunMeasure, StationPhase,
    SystemProfile,
};

impl LabModel {
    /// Requests that wait at one target at most.
    const QUEUE: usize = 64;
    /// The deadline of a request.
    const DEADLINE: ModelMicros = ModelMicros::from_seconds(10);
    /// How long a slot is held for a granted claim.
    const HOLD: ModelMicros = ModelMicros::from_millis(20);
    /// How long a request waits for the replies to its probes.
    const PROBE_WAIT: ModelMicros = ModelMicros::from_millis(10);
    /// The time after which an idle target looks for work again.
    const STEAL_WAIT: ModelMicros = ModelMicros::from_millis(5);

    /// Starts a burst at some caller and enters the next one.
    pub(super) fn start_burst(&mut self) {
        if self.measure.arrived >= self.setup.requests {
            self.is_closing = true;
            return;
        }
        if let Some(key) = self.pool.draw(&mut self.random) {
            let left = self.random.random_range(0..Self::BURST_REQUESTS * 2 - 1);
            self.burst_request(key, left);
        }
        let slots = (self.setup.system.targets() * SystemProfile::SLOTS) as f64;
        let load = f64::from(self.setup.load_percent) / 100.0 * self.rate;
        let work = self.setup.system.mean_work();
        let gap = work.scaled(f64::from(Self::BURST_REQUESTS) / (slots * load));
        let gap = self.draw_exponential(gap);
        self.enter_in(gap, ModelEvent::Burst);
    }

    /// Brings one request of a burst and enters the next one.
    pub(super) fn burst_request(&mut self, key: ConnectionKey, left: u32) {
        if left > 0 {
            let gap = self.draw_exponential(Self::BURST_GAP);
            self.enter_in(gap, ModelEvent::BurstRequest(key, left - 1));
        }
        if self.is_measuring() {
            self.measure.arrived += 1;
        }
        let request = self.draw_request(key);
        self.arrive(request);
    }

    fn draw_request(&mut self, connection: ConnectionKey) -> ModelRequest {
        let mut ticket = self.random.random_range(0..100);
        let classes = self.setup.system.classes();
        let mut drawn = classes[0];
        for class in classes {
            drawn = class;
            if ticket < class.percent {
                break;
            }
            ticket -= class.percent;
        }
        ModelRequest {
            connection,
            home: usize::MAX,
            priority: drawn.priority,
            work: self.draw_exponential(drawn.mean_work),
            arrived: self.now,
            state: RequestState::Waiting,
            claims: Vec::new(),
            probe: ProbeState::default(),
            resends: 0,
            is_abandoned: false,
        }
    }

    /// Takes a request at the home of its connection.
    pub(super) fn arrive(&mut self, mut request: ModelRequest) {
        let home = self.pool.get(request.connection).and_then(|it| it.home);
        let Some(home) = home.filter(|&home| self.stations[home].is_reachable()) else {
            self.count(|measure| &mut measure.unknown);
            return;
        };
        request.home = home;
        request.state = RequestState::Waiting;
        if !self.admit_retry(&request) {
            self.count(|measure| &mut measure.refused);
            return;
        }
        let priority = request.priority;
        let patience = match self.setup.retry {
            RetryHabit::AtOnce { patience, .. } => Some(patience),
            RetryHabit::Never => None,
        };
        let refused = request.clone();
        let key = self.requests.insert(request);
        if let Some(patience) = patience {
            self.enter_in(patience, ModelEvent::PatienceEnds(key));
        }
        if self.setup.relay == RelayRule::CentralQueue {
            self.central.push(priority, LineEntry::Own(key));
            self.serve_central();
            return;
        }
        let station = &self.stations[home];
        if station.free_slots() > 0 && station.line.is_empty() {
            self.start_request(home, key);
        } else if station.line.own_len() >= Self::QUEUE {
            self.requests.remove(key);
            self.count(|measure| &mut measure.refused);
            self.resend(refused);
        } else {
            self.wait_for_slot(home, key);
        }
    }

    fn wait_for_slot(&mut self, home: usize, key: RequestKey) {
        match self.setup.relay {
            RelayRule::Never | RelayRule::Stealing | RelayRule::CentralQueue => {
                self.queue_here(home, key);
            }
            RelayRule::LateClaims { targets } => {
                self.queue_here(home, key);
                let peers = self.draw_peers(home, usize::from(targets) - 1);
                for &peer in &peers {
                    self.send(home, peer, MessageKind::Claim(key));
                }
                self.requests[key].claims = peers;
            }
            RelayRule::ShorterOfTwo => {
                let peers = self.draw_peers(home, 2);
                for &peer in &peers {
                    self.send(home, peer, MessageKind::Probe(key));
                }
                self.requests[key].probe.missing = peers.len();
                self.enter_in(Self::PROBE_WAIT, ModelEvent::ProbeEnds(key));
            }
        }
    }

    /// Queues a request at a target that has it.
    pub(super) fn queue_here(&mut self, target: usize, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.state = RequestState::Waiting;
        let priority = request.priority;
        self.stations[target]
            .line
            .push(priority, LineEntry::Own(key));
        self.serve_next(target);
    }

    /// Sends a request whose probes are answered, or late, to the shortest queue.
    pub(super) fn settle_probe(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.state != RequestState::Waiting || request.probe.missing == 0 {
            return;
        }
        request.probe.missing = 0;
        let home = request.home;
        let own = self.stations[home].load();
        match request.probe.best {
            Some((target, length)) if length < own => {
                request.state = RequestState::Sent(target);
                self.send(home, target, MessageKind::Enqueue(key));
            }
            _ => self.queue_here(home, key),
        }
    }

    /// Gives the free slots of a target to what waits there.
    pub(super) fn serve_next(&mut self, target: usize) {
        if self.setup.relay == RelayRule::CentralQueue {
            self.serve_central();
            return;
        }
        while self.stations[target].free_slots() > 0 && self.stations[target].is_reachable() {
            match self.stations[target].line.pop() {
                Some(LineEntry::Own(key)) => self.start_or_expire(target, key),
                Some(LineEntry::Claim(key)) => self.grant_claim(target, key),
                None => break,
            }
        }
        if self.setup.relay == RelayRule::Stealing {
            self.steal_work(target);
        }
    }

    fn start_or_expire(&mut self, target: usize, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if self.now.since(request.arrived) > Self::DEADLINE {
            self.drop_request(key);
            self.count(|measure| &mut measure.expired);
        } else {
            self.start_request(target, key);
        }
    }

    fn grant_claim(&mut self, target: usize, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            // The home's word that the request is gone is still on its way.
            return;
        };
        let home = request.home;
        self.stations[target].held.push(key);
        self.send(target, home, MessageKind::Grant(key));
        self.enter_in(Self::HOLD, ModelEvent::HoldEnds(target, key));
    }

    /// Starts the requests of the central queue wherever a slot is free.
    fn serve_central(&mut self) {
        loop {
            let free = (0..self.stations.len())
                .filter(|&target| self.stations[target].phase == StationPhase::Serving)
                .max_by_key(|&target| self.stations[target].free_slots());
            let Some(target) = free.filter(|&target| self.stations[target].free_slots() > 0) else {
                return;
            };
            let Some(entry) = self.central.pop() else {
                return;
            };
            self.start_or_expire(target, entry.request());
        }
    }

    /// Runs a request in a free slot of a target.
    pub(super) fn start_request(&mut self, target: usize, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.state = RequestState::Running(target);
        let (priority, work, arrived) = (request.priority, request.work, request.arrived);
        self.withdraw_claims(key, target);
        if arrived >= self.setup.warm_up {
            let wait = self.now.since(arrived);
            self.measure.record_wait(priority, wait);
        }
        let station = &mut self.stations[target];
        station.running.insert(key, self.now);
        let epoch = station.epoch;
        let span = work.scaled(1.0 / station.speed);
        self.enter_in(
            span,
            ModelEvent::Finish {
                target,
                request: key,
                epoch,
            },
        );
    }

    /// Withdraws the claims of a request, except the one at `used`.
    pub(super) fn withdraw_claims(&mut self, key: RequestKey, used: usize) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let home = request.home;
        for peer in std::mem::take(&mut request.claims) {
            if peer != used {
                self.send(home, peer, MessageKind::Cancel(key));
            }
        }
    }

    /// Ends a request at a target and serves the next one.
    pub(super) fn finish_request(&mut self, target: usize, key: RequestKey, epoch: u32) {
        if self.stations[target].epoch != epoch {
            return;
        }
        let Some(began) = self.stations[target].running.remove(&key) else {
            return;
        };
        let span = self.now.since(began.max(self.setup.warm_up));
        self.measure.record_busy(target, span);
        if let Some(request) = self.requests.remove(key)
            && request.is_abandoned
        {
            self.measure.wasted = self.measure.wasted.after(span);
        }
        self.serve_next(target);
    }

    /// Forgets a request that will not run.
    pub(super) fn drop_request(&mut self, key: RequestKey) {
        self.withdraw_claims(key, usize::MAX);
        self.requests.remove(key);
    }

    /// Lets an idle target ask some peer for work.
    pub(super) fn steal_work(&mut self, target: usize) {
        let station = &self.stations[target];
        let is_idle = station.free_slots() > 0 && station.line.is_empty();
        if !is_idle || station.is_stealing || station.phase != StationPhase::Serving {
            return;
        }
        if self.is_closing && self.requests.is_empty() {
            return;
        }
        let Some(&peer) = self.draw_peers(target, 1).first() else {
            return;
        };
        self.stations[target].is_stealing = true;
        self.send(target, peer, MessageKind::Steal);
        self.enter_in(Self::STEAL_WAIT, ModelEvent::StealAgain(target));
    }

    /// Adds one to a count, once the measures count.
    pub(super) fn count(&mut self, pick: impl FnOnce(&mut RunMeasure) -> &mut u64) {
        if self.is_measuring() {
            *pick(&mut self.measure) += 1;
        }
    }
}
