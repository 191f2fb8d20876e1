use serde::Serialize;

use crate::agent::slot::RefusalCause;

/// Why a request has not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum NotRunCause {
    /// As many requests wait as are allowed.
    QueueFull,
    /// It could not have finished before its deadline.
    DeadlineTooNear,
    /// A more urgent request took its place in a full queue.
    Displaced,
    /// As many streams are open as are allowed.
    StreamLimit,
    /// The target is leaving.
    Leaving,
    /// The upstream took no connection.
    UpstreamUnreachable,
    /// The ledger of tickets has no room for another run.
    LedgerFull,
    /// Too many recent requests were retries.
    RetryBudgetSpent,
    /// The slot that a peer granted was taken back.
    GrantLost,
}

impl NotRunCause {
    /// Returns a short explanation for a person.
    pub(super) const fn detail(self) -> &'static str {
        match self {
            Self::QueueFull => "the queue of the target is full",
            Self::DeadlineTooNear => "the request could not finish before its deadline",
            Self::Displaced => "a more urgent request took the place in the queue",
            Self::StreamLimit => "as many streams are open as are allowed",
            Self::Leaving => "the target is leaving",
            Self::UpstreamUnreachable => "the upstream accepts no connection",
            Self::LedgerFull => "the ledger of tickets is full",
            Self::RetryBudgetSpent => "too many recent requests were retries",
            Self::GrantLost => "the granted slot was taken back",
        }
    }
}

impl From<RefusalCause> for NotRunCause {
    fn from(cause: RefusalCause) -> Self {
        match cause {
            RefusalCause::QueueFull => Self::QueueFull,
            RefusalCause::DeadlineTooNear => Self::DeadlineTooNear,
            RefusalCause::Displaced => Self::Displaced,
        }
    }
}
