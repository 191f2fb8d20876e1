use rand::Rng;

use super::{
    ConnectionKey, LabModel, LineEntry, ModelEvent, ModelMicros, ModelRequest, ProbeState,
    RelayRule, RequestKey, RequestState, RetryHabit, RunMeasure, RunSetup, StationEvent,
    StationPhase, SystemProfile,
};
use crate::agent::slot::{SlotKey, SlotRequest};

impl LabModel {
    /// The time after which a caller looks again whether it is connected.
    const CONNECT_WAIT: ModelMicros = ModelMicros::from_millis(1);

    /// Starts a burst at some caller and enters the next one.
    pub(super) fn start_burst(&mut self) {
        if self.measure.arrived >= self.setup.requests {
            self.is_closing = true;
            return;
        }
        if let Some(key) = self.pool.draw(&mut self.arrivals) {
            let left = self.arrivals.random_range(0..Self::BURST_REQUESTS * 2 - 1);
            self.burst_request(key, left);
        }
        let slots = (self.setup.system.targets() * SystemProfile::SLOTS) as f64;
        let load = f64::from(self.setup.load_percent) / 100.0 * self.rate;
        let work = self.setup.mean_work();
        let gap = work.scaled(f64::from(Self::BURST_REQUESTS) / (slots * load));
        let gap = self.draw_exponential(gap);
        self.enter_in(gap, ModelEvent::Burst);
    }

    /// Brings one request of a burst and enters the next one.
    ///
    /// A caller that is still connecting sends a little later.
    pub(super) fn burst_request(&mut self, key: ConnectionKey, left: u32) {
        if self.pool.get(key).is_some_and(|it| it.home.is_none()) {
            self.enter_in(Self::CONNECT_WAIT, ModelEvent::BurstRequest(key, left));
            return;
        }
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
        let mut ticket = self.arrivals.random_range(0..100);
        let classes = self.setup.classes();
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
        let key = self.requests.insert(request);
        if let RetryHabit::AtOnce { patience, .. } = self.setup.retry {
            self.enter_in(patience, ModelEvent::PatienceEnds(key));
        }
        match self.setup.relay {
            RelayRule::CentralQueue => self.wait_centrally(key),
            RelayRule::ShorterOfTwo if self.stations[home].free_slots() == 0 => {
                self.probe_peers(home, key);
            }
            RelayRule::LateClaims { targets, near } => {
                self.queue_here(home, key);
                self.claim_slots(home, key, usize::from(targets) - 1, near);
            }
            RelayRule::ShorterOfTwo | RelayRule::Never | RelayRule::Stealing => {
                self.queue_here(home, key);
            }
        }
    }

    /// Queues a request at a target that has it.
    pub(super) fn queue_here(&mut self, target: usize, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(key) {
            request.state = RequestState::Waiting;
            self.ask_slot(target, LineEntry::Own(key));
        }
    }

    /// Asks a target's queue for a slot, for a request or a claim.
    pub(super) fn ask_slot(&mut self, target: usize, entry: LineEntry) {
        let Some(request) = self.requests.get(entry.request()) else {
            return;
        };
        let wish = SlotRequest {
            priority: request.priority,
            deadline: request.arrived.after(self.setup.deadline()).clock(),
            origin: entry.origin(),
        };
        let now = self.now.clock();
        let events = self.stations[target].ask(entry, wish, now);
        self.follow_events(target, events);
    }

    /// Carries out what a target's queue decided.
    pub(super) fn follow_events(&mut self, target: usize, events: Vec<StationEvent>) {
        for event in events {
            match event {
                StationEvent::Slot(LineEntry::Own(key), slot) => {
                    self.start_request(target, key, slot);
                }
                StationEvent::Slot(LineEntry::Claim(key), slot) => {
                    self.grant_claim(target, key, slot);
                }
                StationEvent::Refused(LineEntry::Own(key)) => self.refuse_request(key),
                StationEvent::Refused(LineEntry::Claim(_)) => {}
            }
        }
    }

    /// Runs a request in a slot of a target.
    pub(super) fn start_request(&mut self, target: usize, key: RequestKey, slot: SlotKey) {
        let Some(request) = self.requests.get_mut(key) else {
            self.release_unused(target, slot);
            return;
        };
        request.state = RequestState::Running(target);
        let (priority, work, arrived) = (request.priority, request.work, request.arrived);
        self.withdraw_claims(key, target);
        if arrived >= self.setup.warm_up {
            let wait = self.now.since(arrived);
            self.measure.record_wait(priority, wait);
            if self.setup.settled_at().is_some_and(|at| arrived >= at) {
                self.measure.record_settled(wait);
            }
        }
        let station = &mut self.stations[target];
        station.running.insert(key, (slot, self.now));
        let finish = ModelEvent::Finish {
            target,
            request: key,
            epoch: station.epoch,
        };
        let span = work.scaled(1.0 / station.speed);
        self.enter_in(span, finish);
    }

    /// Ends a request at a target; its slot goes to what waits there.
    pub(super) fn finish_request(&mut self, target: usize, key: RequestKey, epoch: u32) {
        if self.stations[target].epoch != epoch {
            return;
        }
        let Some((slot, began)) = self.stations[target].running.remove(&key) else {
            return;
        };
        let span = self.now.since(began.max(self.setup.warm_up));
        self.measure.record_busy(target, span);
        if let Some(request) = self.requests.remove(key)
            && request.is_abandoned
        {
            self.measure.wasted = self.measure.wasted.after(span);
        }
        self.release_slot(target, slot);
    }

    /// Gives a slot back to the queue of its target.
    pub(super) fn release_slot(&mut self, target: usize, slot: SlotKey) {
        let now = self.now.clock();
        let events = self.stations[target].release(slot, now);
        self.follow_events(target, events);
        self.after_release(target);
    }

    /// Gives a slot back on which nothing ran.
    pub(super) fn release_unused(&mut self, target: usize, slot: SlotKey) {
        let now = self.now.clock();
        let events = self.stations[target].release_unused(slot, now);
        self.follow_events(target, events);
        self.after_release(target);
    }

    fn after_release(&mut self, target: usize) {
        match self.setup.relay {
            RelayRule::CentralQueue => self.serve_central(),
            RelayRule::Stealing => self.steal_work(target),
            RelayRule::Never | RelayRule::ShorterOfTwo | RelayRule::LateClaims { .. } => {}
        }
    }

    /// Answers that a request did not run.
    pub(super) fn refuse_request(&mut self, key: RequestKey) {
        self.withdraw_claims(key, usize::MAX);
        if let Some(request) = self.requests.remove(key) {
            if request.arrived == self.now {
                self.count(|measure| &mut measure.refused);
            } else {
                self.count(|measure| &mut measure.expired);
            }
            if !request.is_abandoned {
                self.resend(request);
            }
        }
    }

    fn wait_centrally(&mut self, key: RequestKey) {
        let limit = usize::from(RunSetup::QUEUE) * self.setup.system.targets();
        if self.central.len() >= limit {
            self.refuse_request(key);
            return;
        }
        let priority = self.requests[key].priority;
        self.central.push(priority, key);
        self.serve_central();
    }

    /// Starts the requests of the central queue wherever a slot is free.
    pub(super) fn serve_central(&mut self) {
        loop {
            let free = (0..self.stations.len())
                .filter(|&target| self.stations[target].phase == StationPhase::Serving)
                .max_by_key(|&target| self.stations[target].free_slots());
            let Some(target) = free.filter(|&target| self.stations[target].free_slots() > 0) else {
                return;
            };
            let Some(key) = self.central.pop() else {
                return;
            };
            let Some(request) = self.requests.get(key) else {
                continue;
            };
            if self.now.since(request.arrived) > self.setup.deadline() {
                self.refuse_request(key);
            } else {
                self.ask_slot(target, LineEntry::Own(key));
            }
        }
    }

    /// Adds one to a count, once the measures count.
    pub(super) fn count(&mut self, pick: impl FnOnce(&mut RunMeasure) -> &mut u64) {
        if self.is_measuring() {
            *pick(&mut self.measure) += 1;
        }
    }
}
