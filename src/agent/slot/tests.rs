//! Tests of the slot queue and the open count.

use proptest::prelude::*;
use slotmap::SecondaryMap;

use super::{
    OpenLimiter, OpenVerdict, RefusalCause, SlotEvent, SlotKey, SlotLimits, SlotOrigin, SlotQueue,
    SlotRequest, SlotVerdict, WaiterKey,
};
use crate::{agent::tests::fixed_cases, clock::ClockMillis, manifest::RequestPriority};

const LIMITS: SlotLimits = SlotLimits {
    slots: 4,
    queue: 8,
    reserve: 1,
};

fn request(priority: RequestPriority, deadline: u64) -> SlotRequest {
    SlotRequest {
        priority,
        deadline: ClockMillis::new(deadline),
        origin: SlotOrigin::Local,
    }
}

#[derive(Debug, Clone)]
enum Step {
    Request(RequestPriority, u64),
    Release(usize),
    Withdraw(usize),
    AdvanceTime(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let priority = prop_oneof![
        Just(RequestPriority::Urgent),
        Just(RequestPriority::Normal),
        Just(RequestPriority::Bulk),
    ];
    prop_oneof![
        4 => (priority, 1u64..3_000).prop_map(|(priority, span)| Step::Request(priority, span)),
        3 => any::<usize>().prop_map(Step::Release),
        1 => any::<usize>().prop_map(Step::Withdraw),
        2 => (0u64..200).prop_map(Step::AdvanceTime),
    ]
}

/// A reference model of the queue that checks its invariants after each step.
#[derive(Debug, Default)]
struct QueueModel {
    running: Vec<(SlotKey, RequestPriority)>,
    waiting: SecondaryMap<WaiterKey, SlotRequest>,
}

impl QueueModel {
    fn start(&mut self, slot: SlotKey, priority: RequestPriority) {
        let bulk = self
            .running
            .iter()
            .filter(|(_, held)| *held == RequestPriority::Bulk);
        if priority == RequestPriority::Bulk {
            assert!(bulk.count() < 3, "bulk occupies the reserved slot");
            let urgent = self.waiting.values().any(|wait| wait.priority < priority);
            assert!(!urgent, "bulk started before a waiting request");
        }
        self.running.push((slot, priority));
        assert!(self.running.len() <= 4, "more than four slots");
    }

    fn apply(&mut self, events: Vec<SlotEvent>) {
        for event in events {
            match event {
                SlotEvent::Started { waiter, slot } => {
                    let wait = self.waiting.remove(waiter).expect("only a waiter starts");
                    self.start(slot, wait.priority);
                }
                SlotEvent::Refused { waiter, refusal } => {
                    self.waiting
                        .remove(waiter)
                        .expect("only a waiter is refused");
                    assert!(refusal.retry_after.millis() > 0);
                }
            }
        }
        assert!(self.waiting.len() <= 8, "the queue is bounded");
    }
}

proptest! {
    #![proptest_config(fixed_cases(400))]

    #[test]
    fn limits_and_priority_order_hold(steps in prop::collection::vec(any_step(), 1..200)) {
        let mut queue = SlotQueue::new(LIMITS);
        let mut model = QueueModel::default();
        let mut now = ClockMillis::ORIGIN;
        for step in steps {
            match step {
                Step::Request(priority, span) => {
                    let slot_request = request(priority, now.millis() + span);
                    let (verdict, events) = queue.request(slot_request, now);
                    model.apply(events);
                    match verdict {
                        SlotVerdict::Run(slot) => model.start(slot, priority),
                        SlotVerdict::Wait(waiter) => {
                            model.waiting.insert(waiter, slot_request);
                        }
                        SlotVerdict::Refuse(refusal) => prop_assert!(refusal.retry_after.millis() > 0),
                    }
                }
                Step::Release(index) if !model.running.is_empty() => {
                    let (slot, _) = model.running.remove(index % model.running.len());
                    model.apply(queue.release(slot, now));
                }
                Step::Withdraw(index) if !model.waiting.is_empty() => {
                    let at = index % model.waiting.len();
                    let waiter = model.waiting.keys().nth(at).expect("within the count");
                    model.waiting.remove(waiter);
                    queue.withdraw(waiter);
                }
                Step::AdvanceTime(span) => {
                    now = ClockMillis::new(now.millis() + span);
                    model.apply(queue.advance(now));
                    prop_assert!(model.waiting.values().all(|wait| wait.deadline >= now));
                }
                Step::Release(_) | Step::Withdraw(_) => {}
            }
            let counts = queue.counts();
            prop_assert_eq!(usize::from(counts.running), model.running.len());
            prop_assert_eq!(usize::from(counts.waiting), model.waiting.len());
            let free = counts.running < 4;
            let ready = model.waiting.values().any(|wait| wait.priority != RequestPriority::Bulk);
            prop_assert!(!(free && ready), "a slot is idle while a request waits");
        }
    }
}

#[test]
fn bulk_requests_leave_a_slot_free_for_urgent_ones() {
    let mut queue = SlotQueue::new(LIMITS);
    let now = ClockMillis::ORIGIN;
    for _ in 0..3 {
        let (verdict, _) = queue.request(request(RequestPriority::Bulk, 60_000), now);
        assert!(matches!(verdict, SlotVerdict::Run(_)));
    }
    let (verdict, _) = queue.request(request(RequestPriority::Bulk, 60_000), now);
    assert!(matches!(verdict, SlotVerdict::Wait(_)));
    let (verdict, _) = queue.request(request(RequestPriority::Urgent, 1_000), now);
    assert!(matches!(verdict, SlotVerdict::Run(_)));
}

#[test]
fn an_urgent_request_displaces_a_less_urgent_one_from_a_full_queue() {
    let mut queue = SlotQueue::new(LIMITS);
    let now = ClockMillis::ORIGIN;
    for _ in 0..12 {
        queue.request(request(RequestPriority::Normal, 60_000), now);
    }
    let (verdict, events) = queue.request(request(RequestPriority::Urgent, 60_000), now);
    assert!(matches!(verdict, SlotVerdict::Wait(_)));
    let [SlotEvent::Refused { refusal, .. }] = events.as_slice() else {
        panic!("one waiter is displaced: {events:?}");
    };
    assert_eq!(refusal.cause, RefusalCause::Displaced);
    let (verdict, _) = queue.request(request(RequestPriority::Normal, 60_000), now);
    let SlotVerdict::Refuse(refusal) = verdict else {
        panic!("the queue is full: {verdict:?}");
    };
    assert_eq!(refusal.cause, RefusalCause::QueueFull);
}

#[test]
fn retry_after_follows_the_measured_service_time() {
    let mut queue = SlotQueue::new(LIMITS);
    for round in 0..40 {
        let start = ClockMillis::new(round * 1_000);
        let (verdict, _) = queue.request(request(RequestPriority::Normal, u64::MAX), start);
        let SlotVerdict::Run(slot) = verdict else {
            panic!("an idle target runs it");
        };
        queue.release(slot, ClockMillis::new(round * 1_000 + 800));
    }
    let now = ClockMillis::new(100_000);
    for _ in 0..4 {
        queue.request(request(RequestPriority::Normal, u64::MAX), now);
    }
    let (verdict, _) = queue.request(request(RequestPriority::Normal, 100_900), now);
    let SlotVerdict::Refuse(refusal) = verdict else {
        panic!("it can't finish in time: {verdict:?}");
    };
    assert_eq!(refusal.cause, RefusalCause::DeadlineTooNear);
    assert!((300..=500).contains(&refusal.retry_after.millis()));
}

#[test]
fn an_open_limiter_refuses_beyond_its_limit() {
    let mut limiter = OpenLimiter::new(2);
    assert_eq!(limiter.open(), OpenVerdict::Open);
    assert_eq!(limiter.open(), OpenVerdict::Open);
    assert_eq!(limiter.open(), OpenVerdict::Full);
    limiter.close();
    assert_eq!(limiter.open(), OpenVerdict::Open);
}

#[test]
fn peer_claims_do_not_displace_own_requests() {
    let mut queue = SlotQueue::new(LIMITS);
    let now = ClockMillis::ORIGIN;
    let own = request(RequestPriority::Normal, 60_000);
    let claim = SlotRequest {
        origin: SlotOrigin::Peer,
        ..own
    };
    for _ in 0..12 {
        queue.request(claim, now);
    }
    let (verdict, _) = queue.request(claim, now);
    assert!(matches!(verdict, SlotVerdict::Refuse(_)));
    for _ in 0..8 {
        let (verdict, events) = queue.request(own, now);
        assert!(matches!(verdict, SlotVerdict::Wait(_)) && events.is_empty());
    }
    let (verdict, _) = queue.request(own, now);
    assert!(matches!(verdict, SlotVerdict::Refuse(_)));
    assert_eq!(queue.counts().waiting, 8);
}
