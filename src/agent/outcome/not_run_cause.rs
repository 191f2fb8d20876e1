use serde::Serialize;

use crate::agent::slot::RefusalCause;

/// Why a request has not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum NotRunCause {
    /// The queue for slots is full.
    QueueFull,
    /// It was not expected to finish before its deadline.
    DeadlineTooNear,
    /// A more urgent request displaced it from the full queue.
    Displaced,
    /// The limit of open streams is reached.
    StreamLimit,
    /// The target is leaving.
    Leaving,
    /// The upstream accepted no connection.
    UpstreamUnreachable,
    /// The ticket ledger is full.
    LedgerFull,
    /// The retry budget is spent.
    RetryBudgetSpent,
    /// The slot granted by a peer is no longer held.
    GrantLost,
}

impl NotRunCause {
    /// Returns the `detail` of the problem document.
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
