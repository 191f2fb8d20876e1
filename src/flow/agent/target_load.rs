use std::collections::HashMap;

use super::{
    TargetFigures,
    failure_meter::{FailureMeter, RequestOutcome},
    pace_window::PaceWindow,
    request_progress::RequestChange,
    service_meter::ServiceMeter,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::FlowKey,
};

/// How long a new flow reserves capacity for its first request: a few round
/// trips between caller and target.
const RESERVATION_MILLIS: SpanMillis = SpanMillis::new(30);
/// How long an unanswered request counts as in flight; callers give up after
/// a few seconds without an answer.
const REQUEST_EXPIRY_MILLIS: SpanMillis = SpanMillis::new(3_000);
/// Maximum number of requests that the target receives at the same time: enough
/// for a burst of uploads that takes a second over a slow link to arrive.
const MAX_RECEIVING: usize = 64;
/// Each answer has a weight of `1 / AVERAGE_DIVISOR` in the moving average, which
/// covers a few answers of each slot.
const AVERAGE_DIVISOR: u64 = 8;
/// The time after which a request counts as failed, unless its route's timeout is
/// shorter: callers wait for an answer for a few seconds at most.
pub(crate) const MAX_ANSWER_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// How long a request counts towards the pace window. Latency goals are below a
/// second, so a request that takes longer is a matter of the failure rate.
const MAX_WINDOW_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// The failure rate from which the measured speed may fall but not rise, in
/// thousandths: three of 32 requests may fail by chance.
const FAILING_PERMILLE: u16 = 100;

/// A request at the target, or capacity reserved for one.
#[derive(Debug, Clone, Copy)]
struct InFlightRequest {
    /// When the request was delivered; `None` for a reservation.
    started_at: Option<ClockMillis>,
    /// When it stops counting without an answer.
    expires_at: ClockMillis,
    /// The time after which it counts as failed.
    answer_timeout: SpanMillis,
    /// Whether its outcome has been recorded.
    judged: bool,
}

/// Requests in flight at a target, counted by its agent from the packets it sees.
///
/// A target that gets more requests than it has slots queues the others and
/// answers all of them late.
#[derive(Debug, Default)]
pub(crate) struct TargetLoad {
    /// How many requests the target processes concurrently, if it announced that.
    slots: Option<u32>,
    /// Flows with a request at the target or with reserved capacity.
    in_flight: HashMap<FlowKey, InFlightRequest>,
    /// Flows whose request has arrived in part, with the time when that stops
    /// counting.
    receiving: HashMap<FlowKey, ClockMillis>,
    /// Moving average of the time from delivery to answer, in units of
    /// `1 / AVERAGE_DIVISOR` ms; zero before the first answer.
    scaled_average: u64,
    meter: ServiceMeter,
    failures: FailureMeter,
    pace: PaceWindow,
    /// The time until which busy slots and overdue requests have been recorded.
    observed_at: ClockMillis,
    /// When the target last started or recovered. The time that earlier requests take
    /// tells how long the target was silent, or they are lost.
    recovered_at: ClockMillis,
}

impl TargetLoad {
    /// Sets how many requests the target processes concurrently; zero counts as unknown.
    pub(crate) fn set_slots(&mut self, slots: Option<u32>) {
        self.slots = slots.filter(|slots| *slots > 0);
    }

    /// Reserves capacity for the first request of a flow that is being opened.
    pub(crate) fn reserve(&mut self, flow: FlowKey, now: ClockMillis) {
        let request = InFlightRequest {
            started_at: None,
            expires_at: now.after(RESERVATION_MILLIS),
            answer_timeout: MAX_ANSWER_MILLIS,
            judged: false,
        };
        self.in_flight.insert(flow, request);
    }

    /// Records what has arrived of a flow's request, which counts as failed without
    /// an answer within `answer_timeout`.
    pub(crate) fn apply_change(
        &mut self,
        flow: FlowKey,
        change: RequestChange,
        answer_timeout: SpanMillis,
        now: ClockMillis,
    ) {
        match change {
            RequestChange::Nothing => {}
            RequestChange::Receiving => {
                self.in_flight.remove(&flow);
                self.receiving
                    .insert(flow, now.after(REQUEST_EXPIRY_MILLIS));
            }
            RequestChange::Complete => self.start(flow, answer_timeout, now),
        }
    }

    /// Records that a request was delivered to the target in full.
    fn start(&mut self, flow: FlowKey, answer_timeout: SpanMillis, now: ClockMillis) {
        self.observe(now);
        self.receiving.remove(&flow);
        let request = InFlightRequest {
            started_at: Some(now),
            expires_at: now.after(REQUEST_EXPIRY_MILLIS),
            answer_timeout,
            judged: false,
        };
        self.in_flight.insert(flow, request);
    }

    /// Records the answer to a flow's request.
    pub(crate) fn finish(&mut self, flow: FlowKey, now: ClockMillis) {
        self.observe(now);
        self.receiving.remove(&flow);
        let Some(request) = self.in_flight.remove(&flow) else {
            return;
        };
        let Some(started_at) = request.started_at else {
            return;
        };
        if !request.judged {
            self.record_outcome(RequestOutcome::Answered, now);
        }
        if started_at > self.recovered_at
            && let Some(limit) = self.max_in_flight()
        {
            let micros = self.meter.record_answer();
            self.pace.record_answer(micros, limit);
        }
        let elapsed = now.since(started_at).millis();
        self.scaled_average = match self.scaled_average {
            0 => elapsed * AVERAGE_DIVISOR,
            scaled_average => scaled_average - scaled_average / AVERAGE_DIVISOR + elapsed,
        };
    }

    /// Removes a flow's request after a bounce or a timeout.
    pub(crate) fn cancel(&mut self, flow: FlowKey) {
        self.receiving.remove(&flow);
        self.in_flight.remove(&flow);
    }

    /// Removes a flow's request after a reset by the target, which counts as a
    /// failure if the target had got a request or `opening`, and not if the caller
    /// had given the request up.
    pub(super) fn record_reset(&mut self, flow: FlowKey, opening: bool, now: ClockMillis) {
        self.observe(now);
        let was_receiving = self.receiving.remove(&flow).is_some();
        let request = self.in_flight.remove(&flow);
        let was_open = request.is_some_and(|request| request.started_at.is_some());
        let judged = request.is_some_and(|request| request.judged);
        if !judged && (was_open || was_receiving || opening) {
            self.record_outcome(RequestOutcome::Failed, now);
        }
    }

    /// Records that the caller has given up a flow. Its request counts as failed if
    /// the target had at least half of the time for an answer: the caller's timeout
    /// started earlier than that of its agent.
    pub(super) fn record_given_up(&mut self, flow: FlowKey, now: ClockMillis) {
        let Some(request) = self.in_flight.get_mut(&flow) else {
            return;
        };
        let Some(started_at) = request.started_at.filter(|_| !request.judged) else {
            return;
        };
        request.judged = true;
        if now.since(started_at).saturating_mul(2) >= request.answer_timeout {
            self.record_outcome(RequestOutcome::Failed, now);
        }
    }

    /// Removes all requests and figures after the target ended or restarted.
    pub(crate) fn clear(&mut self) {
        self.in_flight.clear();
        self.receiving.clear();
        self.meter = ServiceMeter::default();
        self.failures.clear();
        self.pace.forget_best();
    }

    /// Starts to find the pace of the target, which has just started or recovered.
    pub(super) fn begin_pace(&mut self) {
        self.meter.skip_busy();
        self.recovered_at = self.observed_at;
        if let Some(slots) = self.slots {
            self.pace.begin(slots);
        }
    }

    /// Sets whether the target says that it is cold.
    pub(super) fn set_warming(&mut self, warming: bool) {
        if let (Some(slots), Some(limit)) = (self.slots, self.max_in_flight()) {
            self.pace.set_warming(warming, slots, limit);
        }
    }

    /// Returns what has been measured of the target.
    pub(crate) fn figures(&mut self, now: ClockMillis) -> TargetFigures {
        self.observe(now);
        TargetFigures {
            speed: self
                .slots
                .and_then(|slots| self.meter.speed(slots))
                .unwrap_or(0),
            failures: self.failures.permille(now),
            pace_window: self.slots.and_then(|_| self.pace.window()),
        }
    }

    /// Returns the number of requests that the target failed since the agent started.
    pub(super) fn failed(&self) -> u64 {
        self.failures.failed()
    }

    fn record_outcome(&mut self, outcome: RequestOutcome, now: ClockMillis) {
        self.failures.record(outcome, now);
        let failing = self.failures.permille(now) >= FAILING_PERMILLE;
        self.meter.set_failing(failing);
    }

    /// Records for how long slots were busy since the last call, and the requests
    /// that have become overdue.
    fn observe(&mut self, now: ClockMillis) {
        let since = self.observed_at;
        self.observed_at = now.max(since);
        let max_busy = self.meter.max_busy();
        let mut busy_millis = 0;
        let mut overdue = 0;
        for request in self.in_flight.values_mut() {
            let Some(started_at) = request.started_at else {
                continue;
            };
            if started_at > self.recovered_at {
                let busy_until = now.min(started_at.after(max_busy));
                busy_millis += busy_until.since(started_at.max(since)).millis();
            }
            if !request.judged && now.since(started_at) > request.answer_timeout {
                request.judged = true;
                overdue += 1;
            }
        }
        if let Some(slots) = self.slots {
            let slot_millis = now.since(since).saturating_mul(slots.into()).millis();
            self.meter.add_busy(busy_millis.min(slot_millis));
        }
        for _ in 0..overdue {
            self.record_outcome(RequestOutcome::Failed, now);
        }
    }

    /// Returns the number of requests in flight, with reservations.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns whether the target would start another flow's request soon.
    ///
    /// Half as many requests as slots may queue at the target, so that a freed
    /// slot has work while the next caller's first packets are under way.
    pub(crate) fn has_capacity(&mut self, now: ClockMillis) -> bool {
        let Some(limit) = self.max_in_flight() else {
            return true;
        };
        let window = self.pace.window().map(|window| window.min(limit));
        self.drop_expired(window.unwrap_or(limit), now);
        let below_limit = match window {
            Some(window) => self.recently_started(now) < window,
            None => self.in_flight.len() < limit,
        };
        below_limit && self.receiving.len() < MAX_RECEIVING
    }

    /// Returns whether the target would start another flow's request soon if its pace
    /// were found.
    pub(super) fn has_unpaced_capacity(&mut self, now: ClockMillis) -> bool {
        let Some(limit) = self.max_in_flight() else {
            return true;
        };
        self.drop_expired(limit, now);
        self.in_flight.len() < limit && self.receiving.len() < MAX_RECEIVING
    }

    /// Removes the requests that no longer count, if `limit` of them are in flight.
    fn drop_expired(&mut self, limit: usize, now: ClockMillis) {
        if self.in_flight.len() >= limit {
            self.observe(now);
            self.in_flight.retain(|_, request| request.expires_at > now);
        }
        if self.receiving.len() >= MAX_RECEIVING {
            self.receiving.retain(|_, expires_at| *expires_at > now);
        }
    }

    /// Returns the number of requests in flight, with reservations, that count
    /// towards the window. Requests from before the recovery and those that have been
    /// at the target for longer than `MAX_WINDOW_MILLIS` do not: the target may have
    /// lost them, and would get no others until they expire.
    fn recently_started(&self, now: ClockMillis) -> usize {
        let requests = self.in_flight.values();
        let counts = |started_at| {
            started_at > self.recovered_at && now.since(started_at) < MAX_WINDOW_MILLIS
        };
        requests
            .filter(|request| request.started_at.is_none_or(counts))
            .count()
    }

    /// Returns whether another request is held back by the pace of the target alone.
    pub(super) fn is_paced(&mut self, now: ClockMillis) -> bool {
        let limit = self.max_in_flight();
        let below_limit = limit.is_some_and(|limit| self.in_flight.len() < limit);
        below_limit && self.receiving.len() < MAX_RECEIVING && !self.has_capacity(now)
    }

    /// Returns when the next unanswered request or reservation expires.
    pub(crate) fn next_expiry(&self) -> Option<ClockMillis> {
        let in_flight = self.in_flight.values().map(|request| request.expires_at);
        in_flight.chain(self.receiving.values().copied()).min()
    }

    /// Returns how many requests the target can start within `span` at the rate
    /// of its recent answers, `None` if that rate or the slots are unknown.
    pub(crate) fn capacity_within(&self, span: SpanMillis) -> Option<usize> {
        let limit = self.max_in_flight()? as u64;
        let startable =
            (limit * span.millis() * AVERAGE_DIVISOR).checked_div(self.scaled_average)?;
        usize::try_from(startable).ok()
    }

    /// Returns how many requests may be in flight: the slots and half as many more.
    fn max_in_flight(&self) -> Option<usize> {
        let slots = self.slots?;
        Some(slots.saturating_add(slots.div_ceil(2)) as usize)
    }
}
