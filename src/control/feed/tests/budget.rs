//! The byte budget of a watcher.

use proptest::prelude::*;

use crate::{
    clock::{ClockMillis, SpanMillis},
    control::{feed::WatcherBudget, state::tests::generator::fixed_cases},
};

#[test]
fn a_watcher_that_was_quiet_gets_its_first_reply_at_once() {
    let now = ClockMillis::new(5);
    assert_eq!(WatcherBudget::new(now).pause(now), SpanMillis::ZERO);
}

#[test]
fn a_snapshot_never_holds_up_the_next_change_for_more_than_two_seconds() {
    let now = ClockMillis::new(5);
    let mut budget = WatcherBudget::new(now);
    budget.charge(6_000_000, now);
    assert!(budget.pause(now) <= SpanMillis::new(2_000));
}

proptest! {
    #![proptest_config(fixed_cases(256, 41))]

    #[test]
    fn small_replies_stay_within_the_budget_over_any_time(
        sizes in prop::collection::vec(1_usize..3_000, 20..80),
    ) {
        let mut now = ClockMillis::ORIGIN;
        let mut budget = WatcherBudget::new(now);
        let mut sent = 0;
        for size in sizes {
            now = now.after(budget.pause(now));
            budget.charge(size, now);
            sent += size;
        }
        let allowed = now.millis() * 3 + 16 * 1_024 + 4_500;
        prop_assert!(sent as u64 <= allowed, "{} bytes in {}", sent, now);
    }
}
