use super::{
    FaultKind, LabModel, ModelEvent, ModelMicros, ModelRequest, ProbeState, RelayRule, RequestKey,
    RequestState, RetryPolicy, RunSetup, StationPhase,
};
use crate::agent::admission::AgentPhase;

impl LabModel {
    /// The delay until balancers and peers learn of a change of a target.
    const FEED_LAG: ModelMicros = ModelMicros::from_seconds(1);
    /// The time after which a silent target's lease expires.
    const LEASE_TIME: ModelMicros = ModelMicros::from_seconds(5);
    /// The time without traffic after which a caller drops a connection.
    const IDLE_TIMEOUT: ModelMicros = ModelMicros::from_seconds(10);
    /// The time within which callers of a draining target reconnect.
    const MOVE_TIME: ModelMicros = ModelMicros::from_seconds(2);
    /// The time that a cold target takes to reach full speed.
    const WARM_UP: ModelMicros = ModelMicros::from_seconds(30);
    /// The speed of a cold target as a fraction of full speed.
    const COLD_SPEED: f64 = 0.33;
    /// The delay before a caller resends a refused request.
    const RESEND_GAP: ModelMicros = ModelMicros::from_millis(10);

    /// Applies a fault or load change.
    pub(super) fn apply_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Slow { target, speed } => self.stations[target].speed = speed,
            FaultKind::ColdStart { target } => self.start_cold(target),
            FaultKind::Drain { target } => self.drain_target(target),
            FaultKind::Crash { target } => self.crash_target(target, StationPhase::Absent),
            FaultKind::Silence { target } => self.crash_target(target, StationPhase::Silent),
            FaultKind::Rate { .. } | FaultKind::Callers { .. } => self.change_load(kind),
        }
    }

    fn start_cold(&mut self, target: usize) {
        let since = self.now.to_clock();
        let station = &mut self.stations[target];
        station.phase = StationPhase::Serving;
        station.gate.set_phase(AgentPhase::Warming { since });
        station.speed = Self::COLD_SPEED;
        station.reported = None;
        self.schedule_in(Self::FEED_LAG, ModelEvent::ListingChanged(target, true));
        self.schedule_in(Self::WARM_UP, ModelEvent::WarmUpEnded(target));
        match self.setup.relay {
            RelayRule::CentralQueue => self.serve_central_queue(),
            RelayRule::Stealing => self.try_steal(target),
            RelayRule::Never | RelayRule::ShorterOfTwo | RelayRule::LateClaims { .. } => {}
        }
    }

    fn drain_target(&mut self, target: usize) {
        let station = &mut self.stations[target];
        station.phase = StationPhase::Leaving;
        station.gate.set_phase(AgentPhase::Leaving);
        self.schedule_in(Self::FEED_LAG, ModelEvent::ListingChanged(target, false));
        self.move_callers(target, Self::MOVE_TIME);
    }

    fn crash_target(&mut self, target: usize, phase: StationPhase) {
        let lost = self.stations[target].stop(phase);
        self.schedule_in(Self::LEASE_TIME, ModelEvent::ListingChanged(target, false));
        self.break_connections(target, Self::IDLE_TIMEOUT);
        for key in lost {
            self.record_lost_request(key);
        }
        self.count_orphaned_requests(target);
        if self.setup.relay == RelayRule::CentralQueue {
            self.serve_central_queue();
        }
    }

    /// Counts the open requests of a lost home as unknown, also those that run at peers.
    ///
    /// Requests in the central queue do not count: they wait at no target.
    fn count_orphaned_requests(&mut self, target: usize) {
        let is_orphaned = |request: &ModelRequest| {
            let is_central = self.setup.relay == RelayRule::CentralQueue;
            request.home == target && !(is_central && request.state == RequestState::Waiting)
        };
        let orphaned = self.requests.values().filter(|it| is_orphaned(it)).count();
        self.metrics.unknown += orphaned as u64;
    }

    fn record_lost_request(&mut self, key: RequestKey) {
        if self.requests.remove(key).is_some() {
            self.increment(|metrics| &mut metrics.unknown);
        }
    }

    /// Returns whether a request is a first send or within its home's retry budget.
    pub(super) fn admit_retry(&mut self, request: &ModelRequest) -> bool {
        let now = self.now.to_clock();
        let budget = &mut self.stations[request.home].retry_budget;
        if request.resends == 0 {
            budget.record_request(now);
            return true;
        }
        self.setup.retry_percent() == RunSetup::UNLIMITED_RETRIES || budget.try_spend(now)
    }

    /// Schedules a resend, unless the caller has used up its resends.
    pub(super) fn schedule_resend(&mut self, mut request: ModelRequest) {
        let RetryPolicy::Immediate { max_resends, .. } = self.setup.retry else {
            return;
        };
        if request.resends >= max_resends {
            return;
        }
        request.resends += 1;
        request.claims.clear();
        request.probe = ProbeState::default();
        self.increment(|metrics| &mut metrics.resent);
        self.schedule_in(Self::RESEND_GAP, ModelEvent::Resend(self.resends.len()));
        self.resends.push(request);
    }

    /// Handles a resent request at the current home of its caller.
    pub(super) fn handle_resend(&mut self, index: usize) {
        let mut request = self.resends[index].clone();
        request.arrived = self.now;
        request.is_abandoned = false;
        self.handle_arrival(request);
    }

    fn cancels(&self) -> bool {
        matches!(
            self.setup.retry,
            RetryPolicy::Immediate { cancels: true, .. }
        )
    }

    /// Resends a request that is still unanswered after the caller's timeout.
    pub(super) fn handle_caller_timeout(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.is_abandoned = true;
        let resent = request.clone();
        if self.cancels() && resent.state == RequestState::Waiting {
            self.stations[resent.home].withdraw(key);
            self.cancel_claims(key, usize::MAX);
            self.requests.remove(key);
            self.increment(|metrics| &mut metrics.withdrawn);
        }
        self.schedule_resend(resent);
    }
}
