use serde::Serialize;
use slotmap::SlotMap;

use super::{
    RefusalCause, ServiceTime, SlotEvent, SlotKey, SlotLimits, SlotOrigin, SlotRefusal,
    SlotRequest, SlotVerdict, WaiterKey,
    wait_queue::{PRIORITIES, WaitQueue},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    manifest::RequestPriority,
};

/// The shortest `retry_after` of a refusal.
const MIN_RETRY_MILLIS: SpanMillis = SpanMillis::new(100);

/// A request that holds a slot.
#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    priority: RequestPriority,
    since: ClockMillis,
}

/// The state of the slots and the queue, in numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct QueueCounts {
    /// Requests that hold a slot.
    pub(crate) running: u16,
    /// Requests of this agent's callers that wait for a slot.
    pub(crate) waiting: u16,
    /// The total number of slots.
    pub(crate) slots: u16,
}

/// Grants the slots of one target in order of priority.
///
/// A request that can't finish before its deadline is refused on arrival, or
/// as soon as that becomes clear, rather than left waiting.
#[derive(Debug)]
pub(crate) struct SlotQueue {
    limits: SlotLimits,
    running: SlotMap<SlotKey, RunningRequest>,
    waiting: WaitQueue,
    service_time: ServiceTime,
}

impl SlotQueue {
    /// Creates an empty queue with all slots free.
    pub(crate) fn new(limits: SlotLimits) -> Self {
        Self {
            limits,
            running: SlotMap::with_key(),
            waiting: WaitQueue::default(),
            service_time: ServiceTime::new(),
        }
    }

    /// Changes the limits; requests that run or wait are not affected.
    pub(crate) fn set_limits(&mut self, limits: SlotLimits) {
        self.limits = limits;
    }

    /// Grants a slot, queues the request or refuses it.
    ///
    /// The events report waiting requests that were displaced.
    pub(crate) fn request(
        &mut self,
        request: SlotRequest,
        now: ClockMillis,
    ) -> (SlotVerdict, Vec<SlotEvent>) {
        if self.has_free_slot(request.priority) && !self.has_waiting_at_least(request.priority) {
            return (SlotVerdict::Run(self.start(request, now)), Vec::new());
        }
        if self.estimated_end(request, now) > request.deadline {
            let refusal = self.refusal(request, RefusalCause::DeadlineTooNear, now);
            return (SlotVerdict::Refuse(refusal), Vec::new());
        }
        let mut events = Vec::new();
        if self.waiting.len(request.origin) >= usize::from(self.limits.queue) {
            let Some(waiter) = self.find_displaced(request) else {
                let refusal = self.refusal(request, RefusalCause::QueueFull, now);
                return (SlotVerdict::Refuse(refusal), events);
            };
            events.extend(self.refuse_waiter(waiter, RefusalCause::Displaced, now));
        }
        (SlotVerdict::Wait(self.waiting.push(request)), events)
    }

    /// Releases a slot and starts the requests that can run now.
    pub(crate) fn release(&mut self, slot: SlotKey, now: ClockMillis) -> Vec<SlotEvent> {
        if let Some(request) = self.running.remove(slot) {
            let held = now.since(request.since);
            self.service_time.record(request.priority, held);
        }
        self.advance(now)
    }

    /// Releases a slot that no request used, without recording a service time.
    pub(crate) fn release_unused(&mut self, slot: SlotKey, now: ClockMillis) -> Vec<SlotEvent> {
        self.running.remove(slot);
        self.advance(now)
    }

    /// Removes a waiting request.
    pub(crate) fn withdraw(&mut self, waiter: WaiterKey) {
        self.waiting.remove(waiter);
    }

    /// Refuses waiting requests that are too late and starts those that can run.
    pub(crate) fn advance(&mut self, now: ClockMillis) -> Vec<SlotEvent> {
        let mut events = self.refuse_overdue(now);
        while let Some(waiter) = self.next_waiter() {
            let Some(request) = self.waiting.remove(waiter) else {
                break;
            };
            let slot = self.start(request, now);
            events.push(SlotEvent::Started { waiter, slot });
        }
        events
    }

    /// Returns the number of running and waiting requests, and of slots.
    pub(crate) fn counts(&self) -> QueueCounts {
        QueueCounts {
            running: u16::try_from(self.running.len()).unwrap_or(u16::MAX),
            waiting: u16::try_from(self.waiting.len(SlotOrigin::Local)).unwrap_or(u16::MAX),
            slots: self.limits.slots,
        }
    }

    /// Returns the estimated time until a request of this priority can start, at
    /// least `MIN_RETRY_MILLIS`.
    pub(crate) fn retry_after(&self, priority: RequestPriority, now: ClockMillis) -> SpanMillis {
        self.estimated_wait(priority, now).max(MIN_RETRY_MILLIS)
    }

    /// Returns the waiting request to displace in favour of `request`.
    fn find_displaced(&self, request: SlotRequest) -> Option<WaiterKey> {
        match request.origin {
            SlotOrigin::Local => self.waiting.last_own_below(request.priority),
            SlotOrigin::Peer => None,
        }
    }

    fn has_free_slot(&self, priority: RequestPriority) -> bool {
        if self.running.len() >= usize::from(self.limits.slots) {
            return false;
        }
        let same_priority = self
            .running
            .values()
            .filter(|request| request.priority == priority)
            .count();
        same_priority < usize::from(self.limits.slots_for(priority))
    }

    /// Returns whether a request of this or a more urgent priority waits.
    fn has_waiting_at_least(&self, priority: RequestPriority) -> bool {
        PRIORITIES
            .into_iter()
            .filter(|other| *other <= priority)
            .any(|other| self.waiting.has_any(other))
    }

    fn next_waiter(&self) -> Option<WaiterKey> {
        PRIORITIES
            .into_iter()
            .filter(|priority| self.has_free_slot(*priority))
            .find_map(|priority| self.waiting.first(priority))
    }

    fn start(&mut self, request: SlotRequest, now: ClockMillis) -> SlotKey {
        self.running.insert(RunningRequest {
            priority: request.priority,
            since: now,
        })
    }

    /// Estimates the time until the slots have finished the running requests and
    /// the waiting ones of this or a more urgent priority.
    ///
    /// Waiting peer claims are not counted: most of those requests run
    /// elsewhere, as do some of this agent's requests in return.
    fn estimated_wait(&self, priority: RequestPriority, now: ClockMillis) -> SpanMillis {
        let waiting: u64 = PRIORITIES
            .into_iter()
            .filter(|other| *other <= priority)
            .map(|other| {
                let count = self.waiting.own_len(other) as u64;
                self.service_time.mean(other).saturating_mul(count).millis()
            })
            .sum();
        let running: u64 = self
            .running
            .values()
            .map(|request| self.remaining_time(*request, now).millis())
            .sum();
        let slots = u64::from(self.limits.slots_for(priority)).max(1);
        SpanMillis::new((waiting + running) / slots)
    }

    /// Estimates the remaining time of a running request.
    ///
    /// It is half the mean service time, or half the elapsed time once that is
    /// longer, so that a slow target is noticed before it answers.
    fn remaining_time(&self, request: RunningRequest, now: ClockMillis) -> SpanMillis {
        let mean = self.service_time.mean(request.priority);
        let held = now.since(request.since);
        SpanMillis::new(mean.max(held).millis() / 2)
    }

    fn estimated_end(&self, request: SlotRequest, now: ClockMillis) -> ClockMillis {
        now.after(self.estimated_wait(request.priority, now))
            .after(self.service_time.mean(request.priority))
    }

    fn latest_start(&self, request: SlotRequest) -> ClockMillis {
        let mean = self.service_time.mean(request.priority);
        ClockMillis::new(request.deadline.millis().saturating_sub(mean.millis()))
    }

    fn refuse_overdue(&mut self, now: ClockMillis) -> Vec<SlotEvent> {
        let overdue: Vec<WaiterKey> = self
            .waiting
            .iter()
            .filter(|(_, request)| now > self.latest_start(*request))
            .map(|(waiter, _)| waiter)
            .collect();
        overdue
            .into_iter()
            .filter_map(|waiter| self.refuse_waiter(waiter, RefusalCause::DeadlineTooNear, now))
            .collect()
    }

    fn refuse_waiter(
        &mut self,
        waiter: WaiterKey,
        cause: RefusalCause,
        now: ClockMillis,
    ) -> Option<SlotEvent> {
        let request = self.waiting.remove(waiter)?;
        let refusal = self.refusal(request, cause, now);
        Some(SlotEvent::Refused { waiter, refusal })
    }

    fn refusal(&self, request: SlotRequest, cause: RefusalCause, now: ClockMillis) -> SlotRefusal {
        SlotRefusal {
            cause,
            retry_after: self.retry_after(request.priority, now),
        }
    }
}
