use super::RetryBudget;
use crate::clock::{ClockMillis, SpanMillis};

/// The minimum time left until the deadline for another attempt.
const MIN_TIME_LEFT_MILLIS: SpanMillis = SpanMillis::new(20);
/// The maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 3;

/// Whether a failed attempt may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// The request did not reach the upstream, or its receiver reported that it did not run.
    NotRun,
    /// The request reached the upstream and may have run.
    MayHaveRun,
}

/// The properties of a request that decide on a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RetryPolicy {
    /// Whether the request may run twice.
    pub(crate) idempotent: bool,
    /// Whether the whole body can be resent.
    pub(crate) replayable: bool,
    /// The deadline for the answer.
    pub(crate) deadline: ClockMillis,
}

/// The decision on a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// Make another attempt, at a peer if there is one.
    Retry,
    /// Don't retry: not safe, not replayable, too late or too many attempts.
    GiveUp,
    /// Don't retry: the retry budget is spent.
    BudgetSpent,
}

impl RetryPolicy {
    /// Decides on another attempt after `attempts` have failed.
    pub(crate) fn decide(
        self,
        failure: AttemptFailure,
        attempts: u32,
        budget: &mut RetryBudget,
        now: ClockMillis,
    ) -> RetryDecision {
        let safe_to_repeat = failure == AttemptFailure::NotRun || self.idempotent;
        let in_time = now.after(MIN_TIME_LEFT_MILLIS) <= self.deadline;
        if !safe_to_repeat || !self.replayable || !in_time || attempts >= MAX_ATTEMPTS {
            return RetryDecision::GiveUp;
        }
        if budget.try_spend(now) {
            RetryDecision::Retry
        } else {
            RetryDecision::BudgetSpent
        }
    }
}
