use super::{
    FaultKind, LabModel, ModelEvent, ModelMicros, ModelRequest, ProbeState, RelayRule, RequestKey,
    RequestState, RetryHabit, RunSetup, StationPhase,
};
use crate::agent::admission::AgentPhase;

impl LabModel {
    /// The time in which a change of a target reaches balancers and peers.
    const FEED_LAG: ModelMicros = ModelMicros::from_seconds(1);
    /// The time after which a silent target's lease expires.
    const LEASE: ModelMicros = ModelMicros::from_seconds(5);
    /// The time after which a caller gives up a silent connection.
    const IDLE_TIMEOUT: ModelMicros = ModelMicros::from_seconds(10);
    /// The time in which callers follow the request to move.
    const MOVE_SPAN: ModelMicros = ModelMicros::from_seconds(2);
    /// The time that a cold target needs to reach full speed.
    const WARM_UP: ModelMicros = ModelMicros::from_seconds(30);
    /// The speed of a cold target.
    const COLD_SPEED: f64 = 0.33;
    /// The time after which a caller resends a refused request.
    const RESEND_GAP: ModelMicros = ModelMicros::from_millis(10);

    /// Applies a fault.
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
        let since = self.now.clock();
        let station = &mut self.stations[target];
        station.phase = StationPhase::Serving;
        station.gate.set_phase(AgentPhase::Warming { since });
        station.speed = Self::COLD_SPEED;
        station.reported = None;
        self.enter_in(Self::FEED_LAG, ModelEvent::Listed(target, true));
        self.enter_in(Self::WARM_UP, ModelEvent::WarmEnds(target));
        match self.setup.relay {
            RelayRule::CentralQueue => self.serve_central(),
            RelayRule::Stealing => self.steal_work(target),
            RelayRule::Never | RelayRule::ShorterOfTwo | RelayRule::LateClaims { .. } => {}
        }
    }

    fn drain_target(&mut self, target: usize) {
        let station = &mut self.stations[target];
        station.phase = StationPhase::Leaving;
        station.gate.set_phase(AgentPhase::Leaving);
        self.enter_in(Self::FEED_LAG, ModelEvent::Listed(target, false));
        self.move_callers(target, Self::MOVE_SPAN);
    }

    fn crash_target(&mut self, target: usize, phase: StationPhase) {
        let lost = self.stations[target].stop(phase);
        self.enter_in(Self::LEASE, ModelEvent::Listed(target, false));
        self.break_callers(target, Self::IDLE_TIMEOUT);
        for key in lost {
            self.lose_request(key);
        }
        self.lose_homeless(target);
        if self.setup.relay == RelayRule::CentralQueue {
            self.serve_central();
        }
    }

    /// Loses the requests that run at peers for callers of a lost target.
    fn lose_homeless(&mut self, target: usize) {
        let is_homeless = |request: &ModelRequest| {
            let is_central = self.setup.relay == RelayRule::CentralQueue;
            request.home == target && !(is_central && request.state == RequestState::Waiting)
        };
        let homeless = self.requests.values().filter(|it| is_homeless(it)).count();
        self.measure.unknown += homeless as u64;
    }

    fn lose_request(&mut self, key: RequestKey) {
        if self.requests.remove(key).is_some() {
            self.count(|measure| &mut measure.unknown);
        }
    }

    /// Tells whether a resent request is within the budget of its home.
    pub(super) fn admit_retry(&mut self, request: &ModelRequest) -> bool {
        let now = self.now.clock();
        let budget = &mut self.stations[request.home].budget;
        if request.resends == 0 {
            budget.record_request(now);
            return true;
        }
        self.setup.retry_percent() == RunSetup::NO_BUDGET || budget.take_retry(now)
    }

    /// Lets a caller resend a request that was refused.
    pub(super) fn resend(&mut self, mut request: ModelRequest) {
        let RetryHabit::AtOnce { times, .. } = self.setup.retry else {
            return;
        };
        if request.resends >= times {
            return;
        }
        request.resends += 1;
        request.claims.clear();
        request.probe = ProbeState::default();
        self.count(|measure| &mut measure.resent);
        self.enter_in(Self::RESEND_GAP, ModelEvent::Resend(self.resends.len()));
        self.resends.push(request);
    }

    /// Takes a resent request at the home that its caller has by now.
    pub(super) fn arrive_again(&mut self, place: usize) {
        let mut request = self.resends[place].clone();
        request.arrived = self.now;
        request.is_abandoned = false;
        self.arrive(request);
    }

    fn cancels(&self) -> bool {
        matches!(self.setup.retry, RetryHabit::AtOnce { cancels: true, .. })
    }

    /// Lets a caller resend a request that is not answered for too long.
    pub(super) fn lose_patience(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.is_abandoned = true;
        let resent = request.clone();
        if self.cancels() && resent.state == RequestState::Waiting {
            self.stations[resent.home].withdraw(key);
            self.withdraw_claims(key, usize::MAX);
            self.requests.remove(key);
            self.count(|measure| &mut measure.withdrawn);
        }
        self.resend(resent);
    }
}
