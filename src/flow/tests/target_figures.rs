//! The speed and the failure rate of a target, under the loads that distort them:
//! targets of different speed, a queue at the target, a target that becomes slow,
//! resets requests or hangs.

use rstest::rstest;

use super::{
    flow, from_caller,
    target_model::{TIMEOUT_MILLIS, TargetMode, TargetModel, last_candidate},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        PacketFlags, TargetFigures,
        agent::request_progress::RequestChange,
        agent::target_load::{MAX_ANSWER_MILLIS, TargetLoad},
    },
};

const SLOTS: u32 = 2;
/// The usual service time of the flags deployment.
const SERVICE_MILLIS: u64 = 26;
/// Half of what the slots can answer at the usual speed.
const HALF_LOAD: u64 = 38;
/// The rate at which balancers set a target aside, in thousandths.
const SET_ASIDE_PERMILLE: u16 = 250;

/// Asserts that a speed is within 15% of the answers that all slots give in a second.
fn assert_speed(figures: TargetFigures, mean_millis: f64) {
    let expected = f64::from(SLOTS) * 1_000.0 / mean_millis;
    let speed = f64::from(figures.speed) / 10.0;
    assert!(
        (speed - expected).abs() <= expected * 0.15,
        "{speed} answers a second were measured instead of {expected}"
    );
}

/// Flags deployment: targets of one service work at 0.6, 1.0 or 1.6 times the usual
/// speed; without the figure each of them gets the same share.
#[rstest]
#[case::slow(43)]
#[case::usual(26)]
#[case::fast(16)]
fn the_speed_of_uneven_targets_is_measured(#[case] service_millis: u64) {
    let mut model = TargetModel::new(SLOTS, service_millis);
    model.openings_per_second = HALF_LOAD * 9 / 10;
    model.run(6_000);
    assert_speed(model.figures(), model.mean_drawn_since(0));
    assert_eq!(model.figures().failures, 0);
}

#[test]
fn the_speed_is_unknown_before_eight_answers() {
    let mut model = TargetModel::new(SLOTS, SERVICE_MILLIS);
    model.openings_per_second = HALF_LOAD;
    model.run_until(2_000, |model| model.answered == 7);
    assert_eq!(model.figures().speed, 0);
    model.run_until(2_000, |model| model.answered == 8);
    assert!(model.figures().speed > 0);
}

/// Long flows bring requests past the count of the agent. Without subtracting the
/// wait in the target's own queue, a target with five requests a slot would look five
/// times slower than it is.
#[test]
fn the_speed_is_right_while_requests_queue_at_the_target() {
    let mut model = TargetModel::new(SLOTS, SERVICE_MILLIS);
    for _ in 0..5 * SLOTS {
        let flow = model.next_flow();
        model.send_request(flow);
    }
    let mut answered = 0;
    while model.millis() < 16_000 {
        model.step();
        while answered < model.answered {
            answered += 1;
            let flow = model.next_flow();
            model.send_request(flow);
        }
    }
    assert_speed(model.figures(), model.mean_drawn_since(0));
}

/// A burst of uploads and approvals: openings beyond the count are queued, and the
/// target is never idle.
#[test]
fn the_speed_is_right_while_the_agent_queues_openings() {
    let mut model = TargetModel::new(SLOTS, SERVICE_MILLIS);
    model.openings_per_second = 4 * HALF_LOAD;
    model.run(6_000);
    assert_speed(model.figures(), model.mean_drawn_since(0));
}

/// Flags deployment: 240 requests a day that must not run twice were lost to slow
/// targets.
#[test]
fn a_target_that_turns_five_times_slower_shows_it_within_two_seconds() {
    let mut model = TargetModel::new(SLOTS, SERVICE_MILLIS);
    model.openings_per_second = HALF_LOAD;
    model.run(5_000);
    let usual = model.figures().speed;
    model.service_millis = 5 * SERVICE_MILLIS;
    let quarter = model.run_until(1_000, |model| model.figures().speed * 4 <= usual * 3);
    assert!(quarter <= 500, "a quarter slower after {quarter} ms");
    model.run_until(2_000 - quarter, |model| model.figures().speed * 2 <= usual);
    model.run(8_000);
    assert_speed(model.figures(), model.mean_drawn_since(300));
    assert_eq!(model.figures().pace_window, None);
}

/// A target that fails fast would get the largest share if its answers counted like
/// others.
#[test]
fn a_target_that_resets_requests_looks_failing_and_not_fast() {
    let mut model = TargetModel::new(SLOTS, SERVICE_MILLIS);
    model.openings_per_second = HALF_LOAD;
    model.run(5_000);
    let usual = model.figures().speed;
    model.mode = TargetMode::Resetting { permille: 400 };
    model.service_millis = 3;
    let seen = model.run_until(2_000, |model| {
        model.figures().failures >= SET_ASIDE_PERMILLE
    });
    assert!(seen <= 1_500, "seen after {seen} ms");
    for _ in 0..5_000 {
        model.step();
        let figures = model.figures();
        assert!(figures.speed <= usual * 5 / 4, "{figures:?}");
        assert!(figures.failures > 0, "{figures:?}");
    }
    model.mode = TargetMode::Answering;
    model.service_millis = SERVICE_MILLIS;
    model.run(5_000);
    assert_eq!(model.figures().failures, 0);
    assert_speed(model.figures(), model.mean_drawn_since(0).max(26.0));
}

/// A target that has failed requests since it started has no trustworthy speed.
#[test]
fn a_target_that_always_resets_requests_has_no_speed() {
    let mut model = TargetModel::new(SLOTS, 3);
    model.mode = TargetMode::Resetting { permille: 400 };
    model.openings_per_second = HALF_LOAD;
    model.run(5_000);
    model.run_until(500, |model| model.figures().failures >= SET_ASIDE_PERMILLE);
    assert_eq!(model.figures().speed, 0);
}

/// A target that accepts flows but answers no request looks idle to its callers
/// until their timeout.
#[test]
fn a_target_that_hangs_fails_once_the_timeout_of_the_route_has_passed() {
    let mut model = TargetModel::new(SLOTS, SERVICE_MILLIS);
    model.openings_per_second = HALF_LOAD;
    model.run(5_000);
    let usual = model.figures().speed;
    model.mode = TargetMode::Hanging;
    model.run(TIMEOUT_MILLIS);
    let seen = model.run_until(6_000, |model| {
        model.figures().failures >= SET_ASIDE_PERMILLE
    });
    assert!(seen <= 3_000, "seen {seen} ms after the timeout");
    // Hung requests must not make the answers before them look slow for long.
    model.mode = TargetMode::Answering;
    model.run(8_000);
    let speed = model.figures().speed;
    assert!(speed * 10 >= usual * 8, "{speed} instead of {usual}");
}

/// A target now and then loses a request, whose caller opens another flow. Counted as
/// busy until it expires, it would cost the target half of its weight.
#[test]
fn a_single_request_without_an_answer_does_not_make_its_target_look_slow() {
    let mut model = TargetModel::new(SLOTS, SERVICE_MILLIS);
    model.openings_per_second = HALF_LOAD;
    model.run(5_000);
    let usual = model.figures().speed;
    model.mode = TargetMode::Hanging;
    let flow = model.next_flow();
    model.send_request(flow);
    model.mode = TargetMode::Answering;
    for _ in 0..4_000 {
        model.step();
        let figures = model.figures();
        assert!(figures.speed * 10 >= usual * 6, "{figures:?}, was {usual}");
        assert!(figures.failures <= 125, "{figures:?}");
    }
}

/// Callers give up at the route's timeout, which starts before the request reaches
/// the agent.
#[rstest]
#[case::after_most_of_the_timeout(1_400, 125)]
#[case::at_once(100, 0)]
fn a_request_that_its_caller_gave_up_fails_if_the_target_had_time(
    #[case] after_millis: u64,
    #[case] permille: u16,
) {
    let mut model = TargetModel::new(SLOTS, SERVICE_MILLIS);
    model.mode = TargetMode::Hanging;
    model.open(flow(7));
    model.run(10 + after_millis);
    let reset = from_caller(flow(7), PacketFlags::RESET);
    let now = model.now();
    model
        .flows
        .handle_frame(last_candidate(), &reset, &[1], now);
    model.run(TIMEOUT_MILLIS);
    assert_eq!(model.figures().failures, permille);
}

/// A restarted target may be another build on another machine size.
#[test]
fn nothing_is_known_of_a_target_that_has_restarted() {
    let mut model = TargetModel::new(SLOTS, SERVICE_MILLIS);
    model.openings_per_second = HALF_LOAD;
    model.run(3_000);
    model.mode = TargetMode::Resetting { permille: 500 };
    model.run(1_000);
    assert!(model.figures().failures > 0);
    model.restart_cold();
    let figures = model.figures();
    assert_eq!((figures.speed, figures.failures), (0, 0));
}

/// Soak, few callers: a target that had hung for three seconds looked slow for ten more
/// and got a sixth of the flows of three, since the mean covers hundreds of answers.
#[test]
fn a_target_that_hung_has_its_earlier_speed_once_its_failures_are_over() {
    let mut model = TargetModel::new(SLOTS, SERVICE_MILLIS);
    model.openings_per_second = 5;
    model.run(8_000);
    let before = model.figures().speed;
    assert!(before > 0);
    model.mode = TargetMode::Hanging;
    model.run(3_000);
    model.mode = TargetMode::Answering;
    model.run(6_000);
    let figures = model.figures();
    assert!(figures.failures < 125, "{figures:?}");
    let speed = figures.speed;
    assert!(speed * 100 >= before * 85, "{speed} after {before}");
}

/// Soak beside load: of three targets that answer within a millisecond, the one whose
/// requests met more pauses of the machine was announced as two to four times slower, and
/// got 36 of the new flows where the others got 85 and 89.
#[test]
fn pauses_of_a_busy_machine_do_not_tell_fast_targets_apart() {
    let mut loads = [TargetLoad::default(), TargetLoad::default()];
    // One answer in 60 or 15 takes 50 ms, the others take 1 ms.
    let pause_intervals = [60, 15];
    for load in &mut loads {
        load.set_slots(Some(4));
    }
    for number in 1..1_000 {
        let now = ClockMillis::ORIGIN.after(SpanMillis::new(number * 60));
        let speeds = [0, 1].map(|target| {
            let load = &mut loads[target];
            let key = flow(7);
            load.apply_change(key, RequestChange::Complete, MAX_ANSWER_MILLIS, now);
            let is_paused = number.is_multiple_of(pause_intervals[target]);
            let took = SpanMillis::new(if is_paused { 50 } else { 1 });
            load.finish(key, now.after(took));
            load.figures(now.after(took)).speed
        });
        if number > 256 {
            assert_eq!(speeds[0], speeds[1], "after {number} answers");
        }
    }
}

/// Guards against a target that answers so seldom that its speed is rounded to zero, which
/// stands for one that has not been measured and gets the usual share of flows.
#[test]
fn a_target_that_hardly_answers_counts_as_measured() {
    let mut load = TargetLoad::default();
    load.set_slots(Some(1));
    let mut now = ClockMillis::ORIGIN;
    let mut port = 1;
    let mut request = |load: &mut TargetLoad, is_answered: bool| {
        port += 1;
        let key = flow(port);
        load.apply_change(key, RequestChange::Complete, MAX_ANSWER_MILLIS, now);
        now = now.after(SpanMillis::new(if is_answered { 50 } else { 1_000 }));
        if is_answered {
            load.finish(key, now);
        }
        load.figures(now).speed
    };
    for _ in 0..20 {
        request(&mut load, true);
    }
    assert!(request(&mut load, true) > 0);
    for number in 0..1_000 {
        let speed = request(&mut load, number % 100 == 0);
        assert!(speed > 0, "after {number} requests");
    }
}
