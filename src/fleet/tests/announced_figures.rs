//! How often the figures of a target change at replicas and balancers.

use rstest::rstest;

use super::super::announced_figures::AnnouncedFigures;
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::TargetFigures,
};

const START: ClockMillis = ClockMillis::new(50_000);

fn at(millis: u64) -> ClockMillis {
    START.after(SpanMillis::new(millis))
}

fn measured(speed: u32, failures: u16) -> TargetFigures {
    TargetFigures {
        speed,
        failures,
        pace_window: None,
    }
}

fn announced(speed: u32, failures: u16) -> AnnouncedFigures {
    let mut figures = AnnouncedFigures::new(START);
    figures.replace(measured(speed, failures), START);
    figures
}

#[rstest]
#[case(0, 0)]
#[case(7, 7)]
#[case(10, 10)]
#[case(764, 750)]
#[case(1_000, 1_000)]
#[case(9_700, 10_000)]
#[case(13_333, 13_000)]
#[case(u32::MAX, u32::MAX)]
fn the_speed_is_announced_in_steps_of_about_a_tenth(#[case] speed: u32, #[case] step: u32) {
    assert_eq!(announced(speed, 0).speed(), step);
}

/// Each change starts a directory revision and is sent to every watcher: the scatter
/// of a steady target must not cause one.
#[test]
fn a_steady_target_changes_nothing() {
    let mut figures = announced(1_000, 0);
    for step in 0..600 {
        let scatter = [0, 40, 90, 20][step % 4];
        let speed = if step % 3 == 0 {
            1_000 - scatter
        } else {
            1_000 + scatter
        };
        let now = at(step as u64 * 100);
        assert!(!figures.update(measured(speed, 0), now), "{speed}");
    }
}

/// At most one change each two seconds over time, however the figures scatter.
#[test]
fn a_target_whose_figures_scatter_changes_once_each_two_seconds() {
    let mut figures = announced(1_000, 0);
    let mut changes = 0;
    for step in 0_u32..6_000 {
        let speed = [400, 2_500, 800, 1_600][step as usize / 10 % 4];
        let failures = [0, 400][step as usize / 15 % 2];
        let now = at(u64::from(step) * 10);
        changes += u32::from(figures.update(measured(speed, failures), now));
    }
    // A minute, and the few urgent changes that may come early.
    assert!(changes <= 30 + 4, "{changes} changes in a minute");
    assert!(changes >= 25, "{changes} changes in a minute");
}

#[test]
fn a_change_by_more_than_a_quarter_is_announced_at_once() {
    let mut figures = announced(1_000, 0);
    assert!(!figures.update(measured(700, 0), at(249)));
    assert!(figures.update(measured(700, 0), at(250)));
    assert_eq!(figures.speed(), 680);
    assert!(!figures.update(measured(300, 0), at(499)));
    assert!(figures.update(measured(300, 0), at(500)));
    // Smaller changes wait.
    assert!(!figures.update(measured(350, 0), at(2_499)));
    assert!(figures.update(measured(350, 0), at(2_500)));
}

#[test]
fn failures_across_the_limit_of_balancers_are_announced_at_once() {
    let mut figures = announced(1_000, 0);
    assert!(!figures.update(measured(1_000, 200), at(500)));
    assert!(figures.update(measured(1_000, 280), at(510)));
    assert_eq!(figures.failures(), 250);
    // Scatter around the limit changes nothing.
    for step in 0..100 {
        let failures = if step % 2 == 0 { 240 } else { 280 };
        assert!(!figures.update(measured(1_000, failures), at(600 + 100 * step)));
    }
    assert!(figures.update(measured(1_000, 140), at(20_000)));
    assert_eq!(figures.failures(), 125);
}

/// Replicas do not publish a change by 50 thousandths or less. A rate that rises
/// slowly past the limit must still reach the balancers.
#[test]
fn announced_failure_rates_differ_by_more_than_replicas_ignore() {
    let mut figures = announced(1_000, 0);
    let mut last = 0;
    for permille in 0..=1_000 {
        let now = at(10_000 * u64::from(permille));
        if figures.update(measured(1_000, permille), now) {
            assert!(figures.failures() - last > 50, "{last} was announced");
            last = figures.failures();
        }
        assert_eq!(figures.failures() >= 250, permille >= 250, "{permille}");
    }
    assert_eq!(last, 1_000);
}

/// The weight of a cold target follows its speed, which changes quickly.
#[test]
fn large_changes_are_announced_every_quarter_second_while_the_pace_is_found() {
    let mut figures = announced(100, 0);
    let mut changes = 0;
    for step in 1_u32..=20 {
        let mut found = measured(100 + 100 * step, 0);
        found.pace_window = Some(2);
        changes += u32::from(figures.update(found, at(u64::from(step) * 250)));
    }
    assert!(changes >= 6, "{changes} changes");
    assert!(figures.speed() >= 1_800, "{} is announced", figures.speed());
}

#[test]
fn a_target_that_restarted_is_announced_as_not_measured() {
    let mut figures = announced(1_000, 300);
    figures.replace(measured(0, 0), at(1));
    assert_eq!((figures.speed(), figures.failures()), (0, 0));
}
