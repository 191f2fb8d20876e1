use thiserror::Error;

use crate::{
    agent::{
        retry::RetryPolicy,
        slot::{SlotOrigin, SlotRequest},
    },
    clock::{ClockMillis, SpanMillis},
    manifest::{RequestPriority, ServiceSpec},
};

/// The longest deadline that a request can have.
const MAX_DEADLINE_MILLIS: SpanMillis = SpanMillis::new(3_600_000);

/// Why the deadline of a request is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum ProfileError {
    /// The header field is not a number of milliseconds.
    #[error("x-deadline-millis is no number of milliseconds")]
    MalformedDeadline,
}

/// Whether a request needs a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// It holds a slot until its answer is complete.
    Slotted,
    /// A stream, which holds no slot and may last for hours.
    Stream,
}

/// What the deadline applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerDeadline {
    /// The answer must be complete by the deadline.
    Complete,
    /// The answer must have started by the deadline.
    Started,
}

/// How to handle a request, from its traffic rule and header fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestProfile {
    /// The priority in the queue.
    pub(crate) priority: RequestPriority,
    /// The deadline for the answer.
    pub(crate) deadline: ClockMillis,
    /// What the deadline applies to.
    pub(crate) answer_deadline: AnswerDeadline,
    /// Whether the request may run twice.
    pub(crate) idempotent: bool,
    /// Whether it needs a slot.
    pub(crate) kind: RequestKind,
    /// Whether its outcome is kept under a ticket.
    pub(crate) ticketed: bool,
    /// Whether the whole body can be resent.
    pub(crate) replayable: bool,
}

impl RequestProfile {
    /// Creates the profile of a request that arrives at `now`.
    ///
    /// `deadline_field` is the value of the `x-deadline-millis` header, if present.
    ///
    /// # Errors
    ///
    /// Fails when that value is not a number of milliseconds.
    pub(crate) fn new(
        spec: &ServiceSpec,
        method: &str,
        path: &str,
        deadline_field: Option<&str>,
        now: ClockMillis,
    ) -> Result<Self, ProfileError> {
        let policy = spec.policy_for(method, path);
        let span = match deadline_field {
            Some(text) => parse_deadline(text)?,
            None => policy.deadline,
        };
        let kind = if policy.stream {
            RequestKind::Stream
        } else {
            RequestKind::Slotted
        };
        // The service's default deadline does not limit how long an answer may take once begun.
        let rule = spec.rule_for(method, path);
        let is_explicit =
            deadline_field.is_some() || rule.is_some_and(|rule| rule.deadline.is_some());
        let answer_deadline = if is_explicit && !policy.stream {
            AnswerDeadline::Complete
        } else {
            AnswerDeadline::Started
        };
        Ok(Self {
            priority: policy.priority,
            deadline: now.after(span.min(MAX_DEADLINE_MILLIS)),
            answer_deadline,
            idempotent: policy.idempotent,
            kind,
            ticketed: false,
            replayable: true,
        })
    }

    /// Marks the request as running under a ticket.
    pub(crate) fn with_ticket(mut self) -> Self {
        self.ticketed = true;
        self
    }

    /// Returns the request for a slot.
    pub(crate) fn slot_request(&self) -> SlotRequest {
        SlotRequest {
            priority: self.priority,
            deadline: self.deadline,
            origin: SlotOrigin::Local,
        }
    }

    /// Returns the policy for retries after a failure.
    pub(crate) fn retry_policy(&self) -> RetryPolicy {
        RetryPolicy {
            idempotent: self.idempotent,
            replayable: self.replayable,
            deadline: self.deadline,
        }
    }
}

fn parse_deadline(text: &str) -> Result<SpanMillis, ProfileError> {
    text.trim()
        .parse()
        .map(SpanMillis::new)
        .map_err(|_| ProfileError::MalformedDeadline)
}
