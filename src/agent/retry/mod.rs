//! Retry budget and the decision to retry a failed attempt.

mod retry_budget;
mod retry_decision;

pub(crate) use retry_budget::{RetryBudget, RetryCounts};
pub(crate) use retry_decision::{AttemptFailure, RetryDecision, RetryPolicy};

#[cfg(test)]
mod tests;
