use std::collections::HashMap;

use super::{FlowKey, request_progress::RequestChange};
use crate::clock::{ClockMillis, SpanMillis};

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

/// A request at the target, or capacity reserved for one.
#[derive(Debug, Clone, Copy)]
struct InFlightRequest {
    /// When the request was delivered; `None` for a reservation.
    started_at: Option<ClockMillis>,
    /// When it stops counting without an answer.
    expires_at: ClockMillis,
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
        };
        self.in_flight.insert(flow, request);
    }

    /// Records what has arrived of a flow's request.
    pub(super) fn apply_change(&mut self, flow: FlowKey, change: RequestChange, now: ClockMillis) {
        match change {
            RequestChange::Nothing => {}
            RequestChange::Receiving => {
                self.in_flight.remove(&flow);
                self.receiving
                    .insert(flow, now.after(REQUEST_EXPIRY_MILLIS));
            }
            RequestChange::Complete => self.start(flow, now),
        }
    }

    /// Records that a request was delivered to the target in full.
    fn start(&mut self, flow: FlowKey, now: ClockMillis) {
        self.receiving.remove(&flow);
        let request = InFlightRequest {
            started_at: Some(now),
            expires_at: now.after(REQUEST_EXPIRY_MILLIS),
        };
        self.in_flight.insert(flow, request);
    }

    /// Records the answer to a flow's request.
    pub(crate) fn finish(&mut self, flow: FlowKey, now: ClockMillis) {
        self.receiving.remove(&flow);
        let Some(started_at) = self
            .in_flight
            .remove(&flow)
            .and_then(|request| request.started_at)
        else {
            return;
        };
        let elapsed = now.since(started_at).millis();
        self.scaled_average = match self.scaled_average {
            0 => elapsed * AVERAGE_DIVISOR,
            scaled_average => scaled_average - scaled_average / AVERAGE_DIVISOR + elapsed,
        };
    }

    /// Removes a flow's request after a bounce, a timeout or a reset.
    pub(crate) fn cancel(&mut self, flow: FlowKey) {
        self.receiving.remove(&flow);
        self.in_flight.remove(&flow);
    }

    /// Removes all requests after the target ended or restarted.
    pub(crate) fn clear(&mut self) {
        self.in_flight.clear();
        self.receiving.clear();
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
        if self.in_flight.len() >= limit {
            self.in_flight.retain(|_, request| request.expires_at > now);
        }
        if self.receiving.len() >= MAX_RECEIVING {
            self.receiving.retain(|_, expires_at| *expires_at > now);
        }
        self.in_flight.len() < limit && self.receiving.len() < MAX_RECEIVING
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
