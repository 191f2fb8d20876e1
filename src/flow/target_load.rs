use std::collections::HashMap;

use super::FlowKey;
use crate::clock::{ClockMillis, SpanMillis};

/// How long a new flow's place is kept for its first request: some round trips
/// between caller and target.
const RESERVED_MILLIS: SpanMillis = SpanMillis::new(30);
/// How long a request without an answer counts as worked on; callers give up
/// after some seconds without a word.
const WORKED_MILLIS: SpanMillis = SpanMillis::new(3_000);

/// The requests that a target works on, as its agent sees them pass.
///
/// A target that works on more requests than it has slots queues the others, and
/// answers all of them late.
#[derive(Debug, Default)]
pub(crate) struct TargetLoad {
    /// How many requests the target works on at a time, once it has said so.
    slots: Option<u32>,
    /// The flows with a request at the target or about to have one, and until
    /// when they count.
    busy: HashMap<FlowKey, ClockMillis>,
}

impl TargetLoad {
    /// Sets how many requests the target works on at a time.
    pub(crate) fn set_slots(&mut self, slots: Option<u32>) {
        self.slots = slots.filter(|slots| *slots > 0);
    }

    /// Keeps a place for the first request of a flow that is being opened.
    pub(crate) fn reserve(&mut self, flow: FlowKey, now: ClockMillis) {
        self.busy.insert(flow, now.after(RESERVED_MILLIS));
    }

    /// Notes that a request was handed to the target.
    pub(crate) fn begin(&mut self, flow: FlowKey, now: ClockMillis) {
        self.busy.insert(flow, now.after(WORKED_MILLIS));
    }

    /// Notes that a flow's request was answered, or the flow has ended.
    pub(crate) fn finish(&mut self, flow: FlowKey) {
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
        let Some(slots) = self.slots else {
            return true;
        };
        let most = slots.saturating_add(slots.div_ceil(2)) as usize;
        if self.busy.len() >= most {
            self.busy.retain(|_, until| *until > now);
        }
        self.busy.len() < most
    }

    /// Returns when the next place may get free without a word of the target.
    pub(crate) fn next_lapse(&self) -> Option<ClockMillis> {
        self.busy.values().min().copied()
    }
}
