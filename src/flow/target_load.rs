use std::collections::HashMap;

use super::FlowKey;
use crate::clock::{ClockMillis, SpanMillis};

/// How long a new flow's place is kept for its first request: some round trips
/// between caller and target.
const RESERVED_MILLIS: SpanMillis = SpanMillis::new(30);
/// How long a request without an answer counts as worked on; callers give up
/// after some seconds without a word.
const WORKED_MILLIS: SpanMillis = SpanMillis::new(3_000);
/// The weight of one answer in the average, one in so many: some answers of each
/// slot.
const AVERAGE_PARTS: u64 = 8;

/// A flow's place at the target.
#[derive(Debug, Clone, Copy)]
struct BusyPlace {
    /// When its request was handed over, if it was.
    begun_at: Option<ClockMillis>,
    /// Until when it counts without an answer.
    until: ClockMillis,
}

/// The requests that a target works on, as its agent sees them pass.
///
/// A target that works on more requests than it has slots queues the others, and
/// answers all of them late.
#[derive(Debug, Default)]
pub(crate) struct TargetLoad {
    /// How many requests the target works on at a time, once it has said so.
    slots: Option<u32>,
    /// The flows with a request at the target or about to have one.
    busy: HashMap<FlowKey, BusyPlace>,
    /// How long requests are at the target on average, in units of
    /// `1 / AVERAGE_PARTS` ms; zero before the first answer.
    average: u64,
}

impl TargetLoad {
    /// Sets how many requests the target works on at a time.
    pub(crate) fn set_slots(&mut self, slots: Option<u32>) {
        self.slots = slots.filter(|slots| *slots > 0);
    }

    /// Keeps a place for the first request of a flow that is being opened.
    pub(crate) fn reserve(&mut self, flow: FlowKey, now: ClockMillis) {
        let place = BusyPlace {
            begun_at: None,
            until: now.after(RESERVED_MILLIS),
        };
        self.busy.insert(flow, place);
    }

    /// Notes that a request was handed to the target.
    pub(crate) fn begin(&mut self, flow: FlowKey, now: ClockMillis) {
        let place = BusyPlace {
            begun_at: Some(now),
            until: now.after(WORKED_MILLIS),
        };
        self.busy.insert(flow, place);
    }

    /// Notes that a flow's request was answered.
    pub(crate) fn finish(&mut self, flow: FlowKey, now: ClockMillis) {
        let Some(begun_at) = self.busy.remove(&flow).and_then(|place| place.begun_at) else {
            return;
        };
        let spent = now.since(begun_at).millis();
        self.average = match self.average {
            0 => spent * AVERAGE_PARTS,
            average => average - average / AVERAGE_PARTS + spent,
        };
    }

    /// Notes that a flow's request was not taken, or that the flow has ended.
    pub(crate) fn cancel(&mut self, flow: FlowKey) {
        self.busy.remove(&flow);
    }

    /// Forgets everything: the target has started again.
    pub(crate) fn clear(&mut self) {
        self.busy.clear();
    }

    /// Returns the number of requests at the target.
    pub(crate) fn busy(&self) -> usize {
        self.busy.len()
    }

    /// Returns whether another flow's request would be worked on soon.
    ///
    /// Half as many requests as slots may wait at the target, so that a slot that
    /// gets free is taken while the next caller's first packets travel.
    pub(crate) fn has_room(&mut self, now: ClockMillis) -> bool {
        let Some(most) = self.most() else {
            return true;
        };
        if self.busy.len() >= most {
            self.busy.retain(|_, place| place.until > now);
        }
        self.busy.len() < most
    }

    /// Returns when the next place may get free without a word of the target.
    pub(crate) fn next_lapse(&self) -> Option<ClockMillis> {
        self.busy.values().map(|place| place.until).min()
    }

    /// Returns how many more requests the target can begin within `span` at the
    /// speed of its last answers, `None` if that is not known.
    pub(crate) fn begins_within(&self, span: SpanMillis) -> Option<usize> {
        let most = self.most()? as u64;
        let begun = (most * span.millis() * AVERAGE_PARTS).checked_div(self.average)?;
        usize::try_from(begun).ok()
    }

    /// Returns the requests that may be at the target.
    fn most(&self) -> Option<usize> {
        let slots = self.slots?;
        Some(slots.saturating_add(slots.div_ceil(2)) as usize)
    }
}
