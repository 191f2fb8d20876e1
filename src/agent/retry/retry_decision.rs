use super::RetryBudget;
use crate::clock::{ClockMillis, SpanMillis};

/// The least time that must be left for another attempt.
const LEAST_LEFT_MILLIS: SpanMillis = SpanMillis::new(20);
/// Attempts that one request is given at most.
const MOST_ATTEMPTS: u32 = 3;

/// What is known of an attempt that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// Nothing of the request reached the upstream, or it said so itself.
    NotRun,
    /// The request reached the upstream and may have run.
    MayHaveRun,
}

/// What a request allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RetryPolicy {
    /// Whether the request may run twice.
    pub(crate) idempotent: bool,
    /// Whether all of its body can be sent again.
    pub(crate) replayable: bool,
    /// When the answer must be there.
    pub(crate) deadline: ClockMillis,
}

/// Whether the attempt is made again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// Another attempt is made, elsewhere if there is another place.
    Retry,
    /// The request may not be sent again, or there is no time left.
    GiveUp,
    /// Too many recent requests were retries.
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
        let safe = failure == AttemptFailure::NotRun || self.idempotent;
        let in_time = now.after(LEAST_LEFT_MILLIS) <= self.deadline;
        if !safe || !self.replayable || !in_time || attempts >= MOST_ATTEMPTS {
            return RetryDecision::GiveUp;
        }
        if budget.take_retry(now) {
            RetryDecision::Retry
        } else {
            RetryDecision::BudgetSpent
        }
    }
}
