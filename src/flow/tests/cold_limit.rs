//! The limit that a service states for cold targets, under a flood of openings.

use proptest::prelude::*;

use super::{
    agent, flow, from_caller,
    target_model::{TIMEOUT_MILLIS, TargetModel, last_candidate},
};
use crate::{
    clock::SpanMillis,
    flow::{AgentAction, PacketFlags, ReportKind, TargetLifecycle},
};

/// More slots than the stated limit leaves busy, so that only the limit holds
/// openings back.
const SLOTS: u32 = 64;
const SERVICE_MILLIS: u64 = 10;
const COLD_PER_SECOND: u32 = 20;

/// Returns a target that has just restarted beside an agent that runs for longer.
fn cold_target() -> TargetModel {
    let mut model = TargetModel::new(SLOTS, SERVICE_MILLIS);
    model.open(flow(60_000));
    model.run(1_100);
    model.delivered_at.clear();
    model.restart_cold();
    model.flows.set_cold_limit(Some(COLD_PER_SECOND));
    model
}

/// Returns the most openings that the target got in any span of a second.
fn most_in_a_second(delivered_at: &[u64]) -> usize {
    let spans = delivered_at.iter().map(|start| {
        let within = delivered_at.iter();
        within
            .filter(|at| (*start..=*start + 1_000).contains(*at))
            .count()
    });
    spans.max().unwrap_or_default()
}

/// A count by calendar seconds would let twice the limit through around the turn of
/// a second.
#[test]
fn a_flooded_cold_target_gets_the_stated_limit_in_any_sliding_second() {
    let mut model = cold_target();
    for openings_per_second in [0, 300, 15, 300, 0, 60] {
        model.openings_per_second = openings_per_second;
        model.run(777);
    }
    assert_eq!(
        most_in_a_second(&model.delivered_at),
        COLD_PER_SECOND as usize
    );
    // The limit is used, not just kept.
    assert!(model.delivered_at.len() >= 4 * COLD_PER_SECOND as usize);
}

#[test]
fn the_next_opening_is_delivered_when_the_first_one_is_a_second_old() {
    let mut model = cold_target();
    for port in 1..=20 {
        let action = model.open(flow(port));
        assert!(matches!(action, AgentAction::Deliver { .. }), "{action:?}");
    }
    model.run(600);
    assert_eq!(model.open(flow(21)), AgentAction::Wait);
    let due = model.flows.next_due().expect("a timer");
    assert!(due <= model.now().after(SpanMillis::new(401)));
    // Clock readings a second apart may be up to a millisecond less apart.
    model.run(400);
    assert_eq!(model.flows.waiting(), 1);
    model.run(1);
    assert_eq!(model.flows.waiting(), 0);
    assert_eq!((model.delivered_at.len(), model.refused), (21, 0));
}

#[test]
fn retransmitted_openings_count_once() {
    let mut model = cold_target();
    for _ in 0..100 {
        let action = model.open(flow(1));
        assert!(matches!(action, AgentAction::Deliver { .. }));
    }
    let action = model.open(flow(2));
    assert!(matches!(action, AgentAction::Deliver { .. }));
}

/// All candidates of an opening are cold and at their limit: it visits each of them,
/// the last one keeps it and says at last that it was not run.
#[test]
fn an_opening_whose_candidates_are_all_cold_is_queued_and_then_refused() {
    let mut models = [cold_target(), cold_target(), cold_target()];
    let opening = from_caller(flow(99), PacketFlags::OPEN);
    for model in &mut models {
        for port in 1..=20 {
            model.open(flow(port));
        }
    }
    for model in &mut models[..2] {
        let header = last_candidate().with_candidates([agent(2)]);
        let now = model.now();
        let step = model.flows.handle_frame(header, &opening, &[1], now);
        assert!(matches!(step.action, AgentAction::PassOn { .. }));
        assert_eq!(model.flows.held_openings().by_cold_limit, 1);
    }
    let last = &mut models[2];
    assert_eq!(last.open(flow(99)), AgentAction::Wait);
    // A third of the route's timeout.
    last.run(TIMEOUT_MILLIS / 3 - 1);
    assert_eq!(last.flows.waiting(), 1);
    let now = last.now().after(SpanMillis::new(1));
    let dequeued = last.flows.dequeue_opening(now).expect("a refusal");
    assert_eq!(dequeued.flow, flow(99));
    assert!(matches!(dequeued.step.action, AgentAction::Reset(_)));
    let kind = dequeued.step.report.map(|(_, report)| report.kind);
    assert_eq!(kind, Some(ReportKind::Refused));
    assert_eq!(last.delivered_at.len(), 20);
}

/// What the limit does not let through before the timeout is refused at once.
#[test]
fn the_queue_of_a_cold_target_is_as_long_as_its_limit_allows() {
    let mut model = cold_target();
    for port in 1..=20 + 2 * 20 {
        model.open(flow(port));
    }
    model.run(1);
    assert_eq!(model.flows.waiting(), 29);
    assert_eq!(model.refused, 11);
}

#[test]
fn the_limit_is_not_in_force_for_a_warm_target_or_without_a_stated_one() {
    let mut model = cold_target();
    model.flows.set_warming(false);
    model.openings_per_second = 100;
    model.run(2_000);
    assert!(most_in_a_second(&model.delivered_at) >= 95);
    for unstated in [None, Some(0)] {
        let mut model = cold_target();
        model.flows.set_cold_limit(unstated);
        model.openings_per_second = 100;
        model.run(2_000);
        assert!(most_in_a_second(&model.delivered_at) >= 95);
    }
}

/// An agent that is killed forgets what it let through: its next run must not let the
/// whole limit through in the same second.
#[test]
fn an_agent_that_restarts_keeps_the_bound_of_a_cold_target() {
    let mut earlier_run = cold_target();
    earlier_run.openings_per_second = 400;
    earlier_run.run(200);
    let mut model = TargetModel::new(SLOTS, SERVICE_MILLIS);
    model
        .flows
        .set_lifecycle(TargetLifecycle::Unproved, None, model.now());
    model.flows.set_warming(false);
    model.flows.set_cold_limit(Some(COLD_PER_SECOND));
    model.openings_per_second = 400;
    model.run(800);
    let bound = COLD_PER_SECOND as usize * 3 / 2;
    let delivered = earlier_run.delivered_at.len() + model.delivered_at.len();
    assert!(delivered <= bound, "{delivered} openings in a second");
    model.run(2_000);
    assert_eq!(
        most_in_a_second(&model.delivered_at),
        COLD_PER_SECOND as usize
    );
}

/// The stated limit arrives after the first openings of a target, with the answer to
/// its announcement.
#[test]
fn openings_before_the_limit_is_known_count() {
    let mut model = cold_target();
    model.flows.set_cold_limit(None);
    model.openings_per_second = 50;
    model.run(300);
    assert_eq!(model.delivered_at.len(), 15);
    model.flows.set_cold_limit(Some(COLD_PER_SECOND));
    model.openings_per_second = 400;
    model.run(600);
    assert_eq!(model.delivered_at.len(), COLD_PER_SECOND as usize);
}

proptest! {
    /// However openings arrive, and whenever the limit comes into force again.
    #[test]
    fn no_second_has_more_openings_than_the_limit(
        gaps in prop::collection::vec(0_u64..120, 1..300),
        limit in 1_u32..30,
    ) {
        let mut model = TargetModel::new(SLOTS, SERVICE_MILLIS);
        model.restart_cold();
        model.flows.set_cold_limit(Some(limit));
        for gap in gaps {
            model.run(gap);
            let flow = model.next_flow();
            model.open(flow);
        }
        prop_assert!(most_in_a_second(&model.delivered_at) <= limit as usize);
    }
}
