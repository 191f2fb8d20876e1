use thiserror::Error;

use crate::{
    agent::{
        retry::RetryPolicy,
        slot::{SlotOrigin, SlotRequest},
    },
    clock::{ClockMillis, SpanMillis},
    manifest::{RequestPriority, ServiceSpec},
};

/// The longest deadline that a request may bring.
const LONGEST_DEADLINE: SpanMillis = SpanMillis::new(3_600_000);

/// Why the deadline of a request can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum ProfileError {
    /// The header field holds no number of milliseconds.
    #[error("x-deadline-millis is no number of milliseconds")]
    MalformedDeadline,
}

/// Whether a request holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// It holds a slot until its answer has ended.
    Slotted,
    /// It is a stream that holds none and may last for hours.
    Stream,
}

/// What a deadline means for an answer that is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerDeadline {
    /// All of the answer must be there by then.
    Whole,
    /// The answer must have begun by then.
    Begun,
}

/// How a request is to be treated, by its rule and its header fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestProfile {
    /// The place in the queue.
    pub(crate) priority: RequestPriority,
    /// When the answer must be there.
    pub(crate) deadline: ClockMillis,
    /// What that means for an answer that is on its way.
    pub(crate) answer_deadline: AnswerDeadline,
    /// Whether the request may run twice.
    pub(crate) idempotent: bool,
    /// Whether it holds a slot.
    pub(crate) kind: RequestKind,
    /// Whether its outcome is kept under a ticket.
    pub(crate) ticketed: bool,
    /// Whether all of its body can be sent again.
    pub(crate) replayable: bool,
}

impl RequestProfile {
    /// Reads the treatment of a request that arrives at `now`.
    ///
    /// `deadline_field` is the value of `x-deadline-millis`, if it was sent.
    ///
    /// # Errors
    ///
    /// Fails when that value is no number.
    pub(crate) fn new(
        spec: &ServiceSpec,
        method: &str,
        path: &str,
        deadline_field: Option<&str>,
        now: ClockMillis,
    ) -> Result<Self, ProfileError> {
        let treatment = spec.treatment_for(method, path);
        let span = match deadline_field {
            Some(text) => parse_deadline(text)?,
            None => treatment.deadline,
        };
        let kind = if treatment.stream {
            RequestKind::Stream
        } else {
            RequestKind::Slotted
        };
        // The service's default says nothing of how long an answer may be.
        let rule = spec.rule_for(method, path);
        let is_asked = deadline_field.is_some() || rule.is_some_and(|rule| rule.deadline.is_some());
        let answer_deadline = if is_asked && !treatment.stream {
            AnswerDeadline::Whole
        } else {
            AnswerDeadline::Begun
        };
        Ok(Self {
            priority: treatment.priority,
            deadline: now.after(span.min(LONGEST_DEADLINE)),
            answer_deadline,
            idempotent: treatment.idempotent,
            kind,
            ticketed: false,
            replayable: true,
        })
    }

    /// Marks the request as one whose outcome is kept under a ticket.
    pub(crate) fn with_ticket(mut self) -> Self {
        self.ticketed = true;
        self
    }

    /// Returns what the request asks of the queue.
    pub(crate) fn slot_request(&self) -> SlotRequest {
        SlotRequest {
            priority: self.priority,
            deadline: self.deadline,
            origin: SlotOrigin::Own,
        }
    }

    /// Returns what the request allows after a failure.
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
