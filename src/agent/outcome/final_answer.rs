use http::StatusCode;

use super::{NotRunCause, ProblemDocument, RunState};
use crate::clock::SpanMillis;

/// The prefix of every problem type.
const PROBLEM_PREFIX: &str = "urn:cyclamenrouter:problem:";
/// Converts spans to the seconds of `Retry-After`.
const MILLIS_PER_SECOND: u64 = 1_000;

/// An answer that the agent itself sends; it ends the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FinalAnswer {
    /// The request did not run and never will.
    NotRun {
        /// Why it did not run.
        cause: NotRunCause,
        /// How long the caller should wait before it tries again.
        retry_after: SpanMillis,
    },
    /// The deadline passed; `state` tells whether the request may have run.
    DeadlinePassed {
        /// Never `Running`: the run was cancelled, if there was one.
        state: RunState,
    },
    /// A request with the same ticket is still running.
    StillRunning {
        /// How long the caller should wait before it resends the request.
        retry_after: SpanMillis,
    },
    /// The key is not a ticket that may still run; the request did not run.
    TicketNeeded,
    /// The ticket was used for a different request; this one did not run.
    TicketMismatch,
    /// The request ran, but its answer was not kept.
    AnswerNotKept,
    /// The request may have run; its answer is lost.
    OutcomeUnknown,
    /// The request is malformed; it did not run.
    BadRequest {
        /// What is wrong with it.
        detail: &'static str,
    },
}

impl FinalAnswer {
    /// Returns the HTTP status.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlinePassed { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::StillRunning { .. } => StatusCode::CONFLICT,
            Self::TicketNeeded => StatusCode::PRECONDITION_REQUIRED,
            Self::TicketMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::AnswerNotKept => StatusCode::GONE,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::BadRequest { .. } => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns whether the request ran, as far as the agent knows.
    pub(crate) fn run_state(&self) -> RunState {
        match self {
            Self::NotRun { .. }
            | Self::TicketNeeded
            | Self::TicketMismatch
            | Self::BadRequest { .. } => RunState::NotRun,
            Self::DeadlinePassed { state } => *state,
            Self::StillRunning { .. } => RunState::Running,
            Self::AnswerNotKept => RunState::Ran,
            Self::OutcomeUnknown => RunState::Unknown,
        }
    }

    /// Returns how long the caller should wait before it tries again, if it should.
    pub(crate) fn retry_after(&self) -> Option<SpanMillis> {
        match self {
            Self::NotRun { retry_after, .. } | Self::StillRunning { retry_after } => {
                Some(*retry_after)
            }
            Self::DeadlinePassed { .. }
            | Self::TicketNeeded
            | Self::TicketMismatch
            | Self::AnswerNotKept
            | Self::OutcomeUnknown
            | Self::BadRequest { .. } => None,
        }
    }

    /// Returns the value of `Retry-After`: whole seconds, rounded up, at least 1.
    pub(crate) fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after()
            .map(|span| span.millis().div_ceil(MILLIS_PER_SECOND).max(1))
    }

    /// Returns the body, of type `application/problem+json`.
    pub(crate) fn problem(&self) -> ProblemDocument {
        let state = self.run_state();
        ProblemDocument {
            kind: format!("{PROBLEM_PREFIX}{}", self.kind()),
            title: self.kind().replace('-', " "),
            status: self.status().as_u16(),
            detail: self.detail().to_owned(),
            not_run: state == RunState::NotRun,
            outcome: state,
            retry_after_millis: self.retry_after().map(SpanMillis::millis),
            ticket: None,
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::NotRun { .. } => "not-run",
            Self::DeadlinePassed { .. } => "deadline-passed",
            Self::StillRunning { .. } => "still-running",
            Self::TicketNeeded => "ticket-needed",
            Self::TicketMismatch => "ticket-mismatch",
            Self::AnswerNotKept => "answer-not-kept",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::BadRequest { .. } => "bad-request",
        }
    }

    fn detail(&self) -> &'static str {
        match self {
            Self::NotRun { cause, .. } => cause.detail(),
            Self::DeadlinePassed { .. } => "the deadline passed before the answer was complete",
            Self::StillRunning { .. } => "a request with this ticket is running",
            Self::TicketNeeded => "send the enclosed ticket as Idempotency-Key",
            Self::TicketMismatch => "the ticket was used for a request of other content",
            Self::AnswerNotKept => "the request ran, and its answer was not kept",
            Self::OutcomeUnknown => "the request may have run and its answer is lost",
            Self::BadRequest { detail } => detail,
        }
    }
}
