//! Tests of the retry budget and the decision to retry.

use proptest::prelude::*;
use rstest::rstest;

use super::{AttemptFailure, RetryBudget, RetryDecision, RetryPolicy};
use crate::{agent::tests::fixed_cases, clock::ClockMillis};

proptest! {
    #![proptest_config(fixed_cases(128))]

    #[test]
    fn retries_stay_within_their_percentage_of_the_window(
        percent in 0u8..=50,
        steps in prop::collection::vec((any::<bool>(), 0u64..400), 1..600),
    ) {
        let mut budget = RetryBudget::new(percent);
        let mut now = 0;
        for (is_request, pause) in steps {
            now += pause;
            let clock = ClockMillis::new(now);
            if is_request {
                budget.record_request(clock);
                continue;
            }
            let before = budget.counts(clock);
            let spent = budget.try_spend(clock);
            let allowed_retries = before.requests * u64::from(percent) / 100;
            prop_assert!(!spent || before.retries < allowed_retries.max(1));
            prop_assert!(!(spent && percent == 0));
        }
    }
}

#[test]
fn a_dead_upstream_causes_no_retry_storm() {
    let mut budget = RetryBudget::new(10);
    let mut sent = 0;
    for request in 0..10_000u64 {
        let now = ClockMillis::new(request);
        budget.record_request(now);
        sent += 1;
        // Every attempt fails and asks for a retry.
        while budget.try_spend(now) {
            sent += 1;
        }
    }
    assert!((10_900..=11_100).contains(&sent), "{sent} attempts");
}

#[rstest]
#[case::unsent(AttemptFailure::NotRun, false, true, 1_000, 0, RetryDecision::Retry)]
#[case::sent(
    AttemptFailure::MayHaveRun,
    false,
    true,
    1_000,
    0,
    RetryDecision::GiveUp
)]
#[case::sent_idempotent(AttemptFailure::MayHaveRun, true, true, 1_000, 0, RetryDecision::Retry)]
#[case::body_gone(AttemptFailure::NotRun, true, false, 1_000, 0, RetryDecision::GiveUp)]
#[case::too_late(AttemptFailure::NotRun, true, true, 10, 0, RetryDecision::GiveUp)]
#[case::too_often(AttemptFailure::NotRun, true, true, 1_000, 3, RetryDecision::GiveUp)]
fn only_safe_attempts_are_retried(
    #[case] failure: AttemptFailure,
    #[case] idempotent: bool,
    #[case] replayable: bool,
    #[case] deadline: u64,
    #[case] attempts: u32,
    #[case] expected: RetryDecision,
) {
    let policy = RetryPolicy {
        idempotent,
        replayable,
        deadline: ClockMillis::new(deadline),
    };
    let mut budget = RetryBudget::new(10);
    let decision = policy.decide(failure, attempts, &mut budget, ClockMillis::ORIGIN);
    assert_eq!(decision, expected);
}
