//! The pace of a target that has just started or recovered: neither flooded nor left
//! idle.

use rstest::rstest;

use super::{
    agent, flow, from_caller,
    target_model::{TargetMode, TargetModel, last_candidate},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{AgentAction, AgentFlows, PacketFlags, TargetLifecycle},
    key::IncarnationId,
    listener::ServiceTag,
};

const SLOTS: u32 = 4;
/// The usual limit: slots and a half.
const LIMIT: usize = 6;
/// The service time of a cold target.
const COLD_MILLIS: u64 = 50;
/// Several times what the slots can answer.
const FLOOD: u64 = 600;
/// Half of what the slots can answer.
const HALF_LOAD: u64 = 40;

/// Returns a cold target that callers flood.
fn flooded_cold_target() -> TargetModel {
    let mut model = TargetModel::new(SLOTS, COLD_MILLIS);
    model.restart_cold();
    model.openings_per_second = FLOOD;
    model
}

/// Without a window, a cold target got as many requests at once as a warm one; with a
/// window that grows over time, a target that bears more stayed idle.
#[test]
fn the_window_of_a_flooded_cold_target_holds_and_grows_with_its_answers() {
    let mut model = flooded_cold_target();
    assert_eq!(model.figures().pace_window, Some(2));
    let mut largest = 2;
    let elapsed = model.run_until(2_000, |model| {
        let window = model.figures().pace_window.expect("a window while cold");
        assert!(
            model.flows.in_flight() <= window,
            "{} requests in flight, window {window}",
            model.flows.in_flight()
        );
        assert!(window >= largest, "a steady target must not be slowed down");
        largest = window;
        window == LIMIT
    });
    // 2 + 3 + 4 + 5 answers, each window in about one service time and round trip.
    assert!(elapsed <= 5 * (COLD_MILLIS + 10), "after {elapsed} ms");
    // The window stays until the target is warm.
    model.run(1_000);
    assert_eq!(model.figures().pace_window, Some(LIMIT));
    model.flows.set_warming(false);
    assert_eq!(model.figures().pace_window, None);
}

/// A flooded cold target whose service time grows with its load: requests that run
/// at the same time slow each other down.
#[test]
fn the_window_halves_when_a_cold_target_slows_down_under_load() {
    let mut model = flooded_cold_target();
    model.run_until(2_000, |model| {
        model.figures().pace_window >= Some(LIMIT - 1) && model.answered >= 16
    });
    model.service_millis = 4 * COLD_MILLIS;
    model.run_until(2_000, |model| {
        model.figures().pace_window <= Some(LIMIT / 2)
    });
}

#[test]
fn openings_beyond_the_window_are_passed_on_or_queued_and_not_refused() {
    let mut model = TargetModel::new(SLOTS, COLD_MILLIS);
    model.restart_cold();
    model.open(flow(1));
    model.open(flow(2));
    let opening = from_caller(flow(3), PacketFlags::OPEN);
    let now = model.now();
    let header = last_candidate().with_candidates([agent(4)]);
    let step = model.flows.handle_frame(header, &opening, &[1], now);
    assert!(matches!(step.action, AgentAction::PassOn { to, .. } if to == agent(4)));
    assert_eq!(model.open(flow(3)), AgentAction::Wait);
    assert_eq!(model.flows.held_openings().by_pace, 2);
    model.run(200);
    assert_eq!((model.answered, model.refused), (3, 0));
}

/// After a loss of all power every target of a service is cold: an opening that the
/// other candidates have passed on waited here for a window of half of the slots, while
/// the other slots were idle.
#[test]
fn a_cold_target_takes_openings_that_no_other_candidate_could_take() {
    let mut model = TargetModel::new(SLOTS, COLD_MILLIS);
    model.restart_cold();
    let now = model.now();
    let passed_on = || {
        let header = last_candidate().with_candidates([agent(4)]);
        header.next_hop().expect("a candidate").1
    };
    let mut offer = |header, port| {
        let opening = from_caller(flow(port), PacketFlags::OPEN);
        let step = model.flows.handle_frame(header, &opening, &[1], now);
        step.action
    };
    let is_delivered = |action: &AgentAction| matches!(action, AgentAction::Deliver { .. });
    assert!(is_delivered(&offer(last_candidate(), 1)));
    assert!(is_delivered(&offer(last_candidate(), 2)));
    // The window holds back what others may still take, or were not asked to take.
    let with_others = last_candidate().with_candidates([agent(4)]);
    assert!(matches!(offer(with_others, 3), AgentAction::PassOn { .. }));
    assert_eq!(offer(last_candidate(), 3), AgentAction::Wait);
    for port in 4..=7 {
        assert!(is_delivered(&offer(passed_on(), port)), "port {port}");
    }
    assert_eq!(offer(passed_on(), 8), AgentAction::Wait);
}

/// Makes a target that has run for a while silent until its agent suspects it.
fn suspected_target() -> TargetModel {
    let mut model = TargetModel::new(SLOTS, COLD_MILLIS);
    model.openings_per_second = HALF_LOAD;
    model.run(2_000);
    assert_eq!(model.figures().pace_window, None);
    model.mode = TargetMode::Silent;
    model.run_until(1_000, |model| model.flows.is_suspect());
    model
}

/// A target that was paused for half a second gets all that its callers have
/// queued meanwhile.
#[test]
fn a_recovered_target_gets_its_pace_from_half_of_the_slots() {
    let mut model = suspected_target();
    model.openings_per_second = FLOOD;
    model.run(500);
    model.mode = TargetMode::Answering;
    model.run_until(100, |model| !model.flows.is_suspect());
    assert_eq!(model.figures().pace_window, Some(2));
    let answered = model.answered;
    let elapsed = model.run_until(2_000, |model| model.figures().pace_window.is_none());
    // 2 + 3 + 4 + 5 answers are needed for the four steps.
    assert!(model.answered - answered >= 14, "too fast");
    assert!(elapsed <= 10 * COLD_MILLIS, "after {elapsed} ms");
    assert!(model.flows.in_flight() <= LIMIT);
}

/// The window does not count requests that a target lost while it hung; an opening that
/// the other candidates passed on may not be worse off than another.
#[rstest]
#[case::after_a_short_silence(300)]
#[case::after_more_than_a_second(1_000)]
fn requests_that_a_hung_target_lost_hold_back_no_opening_that_others_passed_on(
    #[case] silent_millis: u64,
) {
    let mut model = TargetModel::new(SLOTS, COLD_MILLIS);
    model.mode = TargetMode::Hanging;
    for port in 60_001..=60_006 {
        model.open(flow(port));
    }
    model.run(100);
    model.mode = TargetMode::Silent;
    model.flows.set_silent(true);
    model.run(silent_millis);
    assert_eq!(model.flows.in_flight(), LIMIT);
    model.mode = TargetMode::Answering;
    model.flows.set_silent(false);
    let now = model.now();
    let header = last_candidate().with_candidates([agent(4)]);
    let (_, header) = header.next_hop().expect("a candidate");
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    let step = model.flows.handle_frame(header, &opening, &[1], now);
    assert!(matches!(step.action, AgentAction::Deliver { .. }));
}

/// A target that hung loses the requests that it had. They must not keep its window
/// closed until they expire.
#[rstest]
#[case::after_a_short_silence(300)]
#[case::after_more_than_a_second(1_000)]
fn requests_that_a_hung_target_lost_do_not_keep_the_window_closed(#[case] silent_millis: u64) {
    let mut model = TargetModel::new(SLOTS, COLD_MILLIS);
    model.mode = TargetMode::Hanging;
    for port in 60_001..=60_005 {
        model.open(flow(port));
    }
    model.run(100);
    model.mode = TargetMode::Silent;
    model.open(flow(60_006));
    model.run(silent_millis);
    assert!(model.flows.is_suspect());
    model.mode = TargetMode::Answering;
    let now = model.now();
    model.flows.record_announcement(now);
    model.openings_per_second = FLOOD;
    model.run_until(100, |model| model.answered > 0);
}

/// A recovered target may stay slower than before, after its machine has changed:
/// its window must not stay closed.
#[test]
fn the_window_of_a_target_that_stays_slow_opens_again() {
    let mut model = suspected_target();
    model.mode = TargetMode::Answering;
    model.service_millis = 5 * COLD_MILLIS;
    model.openings_per_second = FLOOD;
    model.run_until(100, |model| !model.flows.is_suspect());
    model.run_until(3_000, |model| model.figures().pace_window == Some(1));
    // About twenty answers until the best known service time has followed, and 20
    // more until the window has grown.
    let elapsed = model.run_until(20_000, |model| model.figures().pace_window.is_none());
    assert!(elapsed <= 45 * 5 * COLD_MILLIS, "after {elapsed} ms");
}

/// A target that has been silent for three announcements is found by its agent
/// alone.
#[test]
fn a_target_that_was_silent_for_long_gets_its_pace() {
    let mut model = TargetModel::new(SLOTS, COLD_MILLIS);
    model.flows.set_silent(true);
    assert_eq!(model.figures().pace_window, None);
    model.flows.set_silent(false);
    assert_eq!(model.figures().pace_window, Some(2));
}

#[test]
fn a_target_that_was_lost_gets_its_pace() {
    let mut model = TargetModel::new(SLOTS, COLD_MILLIS);
    let now = model.now();
    let incarnation = Some(IncarnationId::new(1));
    let mut set = |lifecycle| {
        model.flows.set_lifecycle(lifecycle, incarnation, now);
        model.flows.figures(now).pace_window
    };
    assert_eq!(set(TargetLifecycle::Lost), None);
    assert_eq!(set(TargetLifecycle::Serving), Some(2));
    assert_eq!(set(TargetLifecycle::Serving), Some(2));
}

/// An agent that restarts beside a running target must not slow the target down.
#[test]
fn a_restarted_agent_does_not_pace_a_warm_target() {
    let now = ClockMillis::new(1_000);
    let mut flows = AgentFlows::new(
        agent(1),
        ServiceTag::of("flags"),
        1,
        SpanMillis::new(60_000),
    );
    flows.set_lifecycle(TargetLifecycle::Unproved, None, now);
    flows.set_warming(false);
    assert_eq!(flows.figures(now).pace_window, None);
    flows.set_slots(Some(SLOTS));
    let incarnation = Some(IncarnationId::new(9));
    flows.set_lifecycle(TargetLifecycle::Serving, incarnation, now);
    flows.set_warming(false);
    assert_eq!(flows.figures(now).pace_window, None);
    // Beside a cold one it does.
    flows.set_warming(true);
    assert_eq!(flows.figures(now).pace_window, Some(2));
}

/// Deployments of before this mechanism: the usual limit holds for a target that
/// neither started nor recovered, however its answers scatter.
#[test]
fn a_steady_target_has_the_usual_limit_also_when_it_becomes_slow() {
    let mut model = TargetModel::new(SLOTS, COLD_MILLIS);
    model.openings_per_second = FLOOD;
    for service_millis in [COLD_MILLIS, 5 * COLD_MILLIS, COLD_MILLIS / 5] {
        model.service_millis = service_millis;
        for _ in 0..2_000 {
            model.step();
            assert_eq!(model.figures().pace_window, None);
        }
    }
    assert_eq!(model.flows.held_openings().by_pace, 0);
}
