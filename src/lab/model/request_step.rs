use rand::Rng;

use super::{
    CallerKey, LabModel, ModelEvent, ModelMicros, ModelRequest, ProbeState, QueueEntry, RelayRule,
    RequestKey, RequestState, RetryPolicy, RunMetrics, RunSetup, ServiceProfile, StationEvent,
    StationPhase,
};
use crate::agent::slot::{SlotKey, SlotRequest};

impl LabModel {
    /// How often a connecting caller checks whether it is connected.
    const CONNECT_POLL: ModelMicros = ModelMicros::from_millis(1);

    /// Starts a burst at a random caller and schedules the next burst.
    pub(super) fn start_burst(&mut self) {
        if self.metrics.arrived >= self.setup.requests {
            self.is_finishing = true;
            return;
        }
        if let Some(key) = self.population.draw(&mut self.arrival_rng) {
            let remaining = self
                .arrival_rng
                .random_range(0..Self::BURST_REQUESTS * 2 - 1);
            self.burst_request(key, remaining);
        }
        let slots = (self.setup.service.targets() * ServiceProfile::SLOTS) as f64;
        let load = f64::from(self.setup.load_percent) / 100.0 * self.rate_factor;
        let service_time = self.setup.mean_service_time();
        let gap = service_time.scaled(f64::from(Self::BURST_REQUESTS) / (slots * load));
        let gap = self.draw_exponential(gap);
        self.schedule_in(gap, ModelEvent::Burst);
    }

    /// Sends one request of a burst and schedules the next one.
    ///
    /// A caller that is still connecting tries again after `CONNECT_POLL`.
    pub(super) fn burst_request(&mut self, key: CallerKey, remaining: u32) {
        if self.population.get(key).is_some_and(|it| it.home.is_none()) {
            self.schedule_in(Self::CONNECT_POLL, ModelEvent::BurstRequest(key, remaining));
            return;
        }
        if remaining > 0 {
            let gap = self.draw_exponential(Self::BURST_GAP);
            self.schedule_in(gap, ModelEvent::BurstRequest(key, remaining - 1));
        }
        if self.is_measuring() {
            self.metrics.arrived += 1;
        }
        let request = self.draw_request(key);
        self.handle_arrival(request);
    }

    fn draw_request(&mut self, caller: CallerKey) -> ModelRequest {
        let mut roll = self.arrival_rng.random_range(0..100);
        let classes = self.setup.classes();
        let mut selected = classes[0];
        for class in classes {
            selected = class;
            if roll < class.percent {
                break;
            }
            roll -= class.percent;
        }
        ModelRequest {
            caller,
            home: usize::MAX,
            priority: selected.priority,
            service_time: self.draw_exponential(selected.mean_service_time),
            arrived: self.now,
            state: RequestState::Waiting,
            claims: Vec::new(),
            probe: ProbeState::default(),
            resends: 0,
            is_abandoned: false,
        }
    }

    /// Handles a request at the home target of its caller.
    pub(super) fn handle_arrival(&mut self, mut request: ModelRequest) {
        let home = self.population.get(request.caller).and_then(|it| it.home);
        let Some(home) = home.filter(|&home| self.stations[home].is_reachable()) else {
            self.increment(|metrics| &mut metrics.unknown);
            return;
        };
        request.home = home;
        request.state = RequestState::Waiting;
        if !self.admit_retry(&request) {
            self.increment(|metrics| &mut metrics.refused);
            return;
        }
        let key = self.requests.insert(request);
        if let RetryPolicy::Immediate { caller_timeout, .. } = self.setup.retry {
            self.schedule_in(caller_timeout, ModelEvent::CallerTimeout(key));
        }
        match self.setup.relay {
            RelayRule::CentralQueue => self.enqueue_centrally(key),
            RelayRule::ShorterOfTwo if self.stations[home].free_slots() == 0 => {
                self.probe_peers(home, key);
            }
            RelayRule::LateClaims {
                targets,
                own_domain_first,
            } => {
                self.enqueue_at(home, key);
                self.send_claims(home, key, usize::from(targets) - 1, own_domain_first);
            }
            RelayRule::ShorterOfTwo | RelayRule::Never | RelayRule::Stealing => {
                self.enqueue_at(home, key);
            }
        }
    }

    /// Queues a request at a target.
    pub(super) fn enqueue_at(&mut self, target: usize, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(key) {
            request.state = RequestState::Waiting;
            self.request_slot(target, QueueEntry::Own(key));
        }
    }

    /// Requests a slot of a target, for a request or a claim.
    pub(super) fn request_slot(&mut self, target: usize, entry: QueueEntry) {
        let Some(request) = self.requests.get(entry.request()) else {
            return;
        };
        let slot_request = SlotRequest {
            priority: request.priority,
            deadline: request.arrived.after(self.setup.deadline()).to_clock(),
            origin: entry.origin(),
        };
        let now = self.now.to_clock();
        let events = self.stations[target].request_slot(entry, slot_request, now);
        self.apply_station_events(target, events);
    }

    /// Applies the decisions of a target's queue.
    pub(super) fn apply_station_events(&mut self, target: usize, events: Vec<StationEvent>) {
        for event in events {
            match event {
                StationEvent::Slot(QueueEntry::Own(key), slot) => {
                    self.start_request(target, key, slot);
                }
                StationEvent::Slot(QueueEntry::Claim(key), slot) => {
                    self.grant_claim(target, key, slot);
                }
                StationEvent::Refused(QueueEntry::Own(key)) => self.refuse_request(key),
                StationEvent::Refused(QueueEntry::Claim(_)) => {}
            }
        }
    }

    /// Runs a request in a slot, or frees the slot if the request is gone.
    pub(super) fn start_request(&mut self, target: usize, key: RequestKey, slot: SlotKey) {
        let Some(request) = self.requests.get_mut(key) else {
            self.release_unused(target, slot);
            return;
        };
        request.state = RequestState::Running(target);
        let (priority, service_time, arrived) =
            (request.priority, request.service_time, request.arrived);
        self.cancel_claims(key, target);
        if arrived >= self.setup.warm_up {
            let wait = self.now.since(arrived);
            self.metrics.record_wait(priority, wait);
            if self.setup.settled_at().is_some_and(|at| arrived >= at) {
                self.metrics.record_settled_wait(wait);
            }
        }
        let station = &mut self.stations[target];
        station.running.insert(key, (slot, self.now));
        let finish = ModelEvent::Finish {
            target,
            request: key,
            epoch: station.epoch,
        };
        let span = service_time.scaled(1.0 / station.speed);
        self.schedule_in(span, finish);
    }

    /// Ends a request and releases its slot, unless the target has stopped since the start.
    pub(super) fn finish_request(&mut self, target: usize, key: RequestKey, epoch: u32) {
        if self.stations[target].epoch != epoch {
            return;
        }
        let Some((slot, began)) = self.stations[target].running.remove(&key) else {
            return;
        };
        let span = self.now.since(began.max(self.setup.warm_up));
        self.metrics.record_busy(target, span);
        if let Some(request) = self.requests.remove(key)
            && request.is_abandoned
        {
            self.metrics.wasted = self.metrics.wasted.after(span);
        }
        self.release_slot(target, slot);
    }

    /// Releases a slot after a run.
    pub(super) fn release_slot(&mut self, target: usize, slot: SlotKey) {
        let now = self.now.to_clock();
        let events = self.stations[target].release(slot, now);
        self.apply_station_events(target, events);
        self.after_release(target);
    }

    /// Releases a slot in which nothing ran.
    pub(super) fn release_unused(&mut self, target: usize, slot: SlotKey) {
        let now = self.now.to_clock();
        let events = self.stations[target].release_unused(slot, now);
        self.apply_station_events(target, events);
        self.after_release(target);
    }

    fn after_release(&mut self, target: usize) {
        match self.setup.relay {
            RelayRule::CentralQueue => self.serve_central_queue(),
            RelayRule::Stealing => self.try_steal(target),
            RelayRule::Never | RelayRule::ShorterOfTwo | RelayRule::LateClaims { .. } => {}
        }
    }

    /// Refuses a request; its caller may resend it.
    pub(super) fn refuse_request(&mut self, key: RequestKey) {
        self.cancel_claims(key, usize::MAX);
        if let Some(request) = self.requests.remove(key) {
            if request.arrived == self.now {
                self.increment(|metrics| &mut metrics.refused);
            } else {
                self.increment(|metrics| &mut metrics.expired);
            }
            if !request.is_abandoned {
                self.schedule_resend(request);
            }
        }
    }

    fn enqueue_centrally(&mut self, key: RequestKey) {
        let limit = usize::from(RunSetup::QUEUE_LIMIT) * self.setup.service.targets();
        if self.central_queue.len() >= limit {
            self.refuse_request(key);
            return;
        }
        let priority = self.requests[key].priority;
        self.central_queue.push(priority, key);
        self.serve_central_queue();
    }

    /// Assigns requests of the central queue to free slots, at the target with the most first.
    pub(super) fn serve_central_queue(&mut self) {
        loop {
            let most_free = (0..self.stations.len())
                .filter(|&target| self.stations[target].phase == StationPhase::Serving)
                .max_by_key(|&target| self.stations[target].free_slots());
            let Some(target) = most_free.filter(|&target| self.stations[target].free_slots() > 0)
            else {
                return;
            };
            let Some(key) = self.central_queue.pop() else {
                return;
            };
            let Some(request) = self.requests.get(key) else {
                continue;
            };
            if self.now.since(request.arrived) > self.setup.deadline() {
                self.refuse_request(key);
            } else {
                self.request_slot(target, QueueEntry::Own(key));
            }
        }
    }

    /// Increments a counter, once the warm-up is over.
    pub(super) fn increment(&mut self, pick: impl FnOnce(&mut RunMetrics) -> &mut u64) {
        if self.is_measuring() {
            *pick(&mut self.metrics) += 1;
        }
    }
}
