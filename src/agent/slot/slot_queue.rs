use serde::Serialize;
use slotmap::SlotMap;

use super::{
    RefusalCause, ServiceTime, SlotEvent, SlotKey, SlotLimits, SlotOrigin, SlotRefusal,
    SlotRequest, SlotVerdict, WaiterKey,
    waiting_line::{PRIORITIES, WaitingLine},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    manifest::RequestPriority,
};

/// The least time after which a refused request is told to come back.
const LEAST_RETRY_MILLIS: SpanMillis = SpanMillis::new(100);

/// A request that holds a slot.
#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    priority: RequestPriority,
    since: ClockMillis,
}

/// How much the target has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct QueueCounts {
    /// Requests that hold a slot.
    pub(crate) running: u16,
    /// Own requests that wait for one.
    pub(crate) waiting: u16,
    /// Slots in all.
    pub(crate) slots: u16,
}

/// Hands out the slots of one target, the most urgent request first.
///
/// A request that can't start in time is refused when it arrives, or as soon
/// as that becomes certain; it never waits for an answer that is known.
#[derive(Debug)]
pub(crate) struct SlotQueue {
    limits: SlotLimits,
    running: SlotMap<SlotKey, RunningRequest>,
    waiting: WaitingLine,
    service_time: ServiceTime,
}

impl SlotQueue {
    /// Creates the queue of a target that does nothing yet.
    pub(crate) fn new(limits: SlotLimits) -> Self {
        Self {
            limits,
            running: SlotMap::with_key(),
            waiting: WaitingLine::default(),
            service_time: ServiceTime::new(),
        }
    }

    /// Puts changed limits in force; what runs or waits stays.
    pub(crate) fn set_limits(&mut self, limits: SlotLimits) {
        self.limits = limits;
    }

    /// Answers a request for a slot.
    ///
    /// The events tell of waiting requests that had to make room.
    pub(crate) fn request(
        &mut self,
        request: SlotRequest,
        now: ClockMillis,
    ) -> (SlotVerdict, Vec<SlotEvent>) {
        if self.has_room(request.priority) && !self.waits_before(request.priority) {
            return (SlotVerdict::Run(self.start(request, now)), Vec::new());
        }
        if self.predicted_end(request, now) > request.deadline {
            let refusal = self.refusal(request, RefusalCause::DeadlineTooNear, now);
            return (SlotVerdict::Refuse(refusal), Vec::new());
        }
        let mut events = Vec::new();
        if self.waiting.len(request.origin) >= usize::from(self.limits.queue) {
            let Some(waiter) = self.displaced_by(request) else {
                let refusal = self.refusal(request, RefusalCause::QueueFull, now);
                return (SlotVerdict::Refuse(refusal), events);
            };
            events.extend(self.drop_waiter(waiter, RefusalCause::Displaced, now));
        }
        (SlotVerdict::Wait(self.waiting.push(request)), events)
    }

    /// Gives a slot back and starts what may run now.
    pub(crate) fn release(&mut self, slot: SlotKey, now: ClockMillis) -> Vec<SlotEvent> {
        if let Some(request) = self.running.remove(slot) {
            let held = now.since(request.since);
            self.service_time.record(request.priority, held);
        }
        self.advance(now)
    }

    /// Gives a slot back that no request ran on, and starts what may run now.
    pub(crate) fn release_unused(&mut self, slot: SlotKey, now: ClockMillis) -> Vec<SlotEvent> {
        self.running.remove(slot);
        self.advance(now)
    }

    /// Takes out a waiting request whose caller is gone.
    pub(crate) fn withdraw(&mut self, waiter: WaiterKey) {
        self.waiting.remove(waiter);
    }

    /// Refuses what can't finish in time any more and starts what may run.
    pub(crate) fn advance(&mut self, now: ClockMillis) -> Vec<SlotEvent> {
        let mut events = self.refuse_late(now);
        while let Some(waiter) = self.next_waiter() {
            let Some(request) = self.waiting.remove(waiter) else {
                break;
            };
            let slot = self.start(request, now);
            events.push(SlotEvent::Started { waiter, slot });
        }
        events
    }

    /// Returns how much the target has to do.
    pub(crate) fn counts(&self) -> QueueCounts {
        QueueCounts {
            running: u16::try_from(self.running.len()).unwrap_or(u16::MAX),
            waiting: u16::try_from(self.waiting.len(SlotOrigin::Own)).unwrap_or(u16::MAX),
            slots: self.limits.slots,
        }
    }

    /// Returns the time after which a request of this priority is likely to start.
    pub(crate) fn retry_after(&self, priority: RequestPriority, now: ClockMillis) -> SpanMillis {
        self.work_before(priority, now).max(LEAST_RETRY_MILLIS)
    }

    /// Returns the own request that makes room for a more urgent one.
    fn displaced_by(&self, request: SlotRequest) -> Option<WaiterKey> {
        match request.origin {
            SlotOrigin::Own => self.waiting.last_below(request.priority),
            SlotOrigin::Peer => None,
        }
    }

    fn has_room(&self, priority: RequestPriority) -> bool {
        if self.running.len() >= usize::from(self.limits.slots) {
            return false;
        }
        let same = self
            .running
            .values()
            .filter(|request| request.priority == priority)
            .count();
        same < usize::from(self.limits.slots_for(priority))
    }

    fn waits_before(&self, priority: RequestPriority) -> bool {
        PRIORITIES
            .into_iter()
            .filter(|other| *other <= priority)
            .any(|other| self.waiting.has(other))
    }

    fn next_waiter(&self) -> Option<WaiterKey> {
        PRIORITIES
            .into_iter()
            .filter(|priority| self.has_room(*priority))
            .find_map(|priority| self.waiting.first(priority))
    }

    fn start(&mut self, request: SlotRequest, now: ClockMillis) -> SlotKey {
        self.running.insert(RunningRequest {
            priority: request.priority,
            since: now,
        })
    }

    /// Estimates when the slots have done all work up to this priority.
    ///
    /// Claims of peers are left out: most of their requests run elsewhere, as
    /// do own requests in return.
    fn work_before(&self, priority: RequestPriority, now: ClockMillis) -> SpanMillis {
        let waiting: u64 = PRIORITIES
            .into_iter()
            .filter(|other| *other <= priority)
            .map(|other| {
                let count = self.waiting.own_of(other) as u64;
                self.service_time.mean(other).times(count).millis()
            })
            .sum();
        let running: u64 = self
            .running
            .values()
            .map(|request| self.work_left(*request, now).millis())
            .sum();
        let slots = u64::from(self.limits.slots_for(priority)).max(1);
        SpanMillis::new((waiting + running) / slots)
    }

    /// Estimates what is left of a running request.
    ///
    /// One that runs longer than the mean is expected to take as long again
    /// in proportion, so that a slow target is noticed before it answers.
    fn work_left(&self, request: RunningRequest, now: ClockMillis) -> SpanMillis {
        let mean = self.service_time.mean(request.priority);
        let held = now.since(request.since);
        SpanMillis::new(mean.max(held).millis() / 2)
    }

    fn predicted_end(&self, request: SlotRequest, now: ClockMillis) -> ClockMillis {
        now.after(self.work_before(request.priority, now))
            .after(self.service_time.mean(request.priority))
    }

    fn latest_start(&self, request: SlotRequest) -> ClockMillis {
        let mean = self.service_time.mean(request.priority);
        ClockMillis::new(request.deadline.millis().saturating_sub(mean.millis()))
    }

    fn refuse_late(&mut self, now: ClockMillis) -> Vec<SlotEvent> {
        let late: Vec<WaiterKey> = self
            .waiting
            .iter()
            .filter(|(_, request)| now > self.latest_start(*request))
            .map(|(waiter, _)| waiter)
            .collect();
        late.into_iter()
            .filter_map(|waiter| self.drop_waiter(waiter, RefusalCause::DeadlineTooNear, now))
            .collect()
    }

    fn drop_waiter(
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
