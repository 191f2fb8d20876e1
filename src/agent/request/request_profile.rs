use thiserror::Error;

use crate::{
    agent::{
        retry::RetryPolicy,
        slot::{SlotOrigin, SlotRequest},
    },
    clock::{ClockMillis, SpanMillis},
    manifest::{RequestPriority, ServiceSpec, TrafficRule},
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

/// How a request is to be treated, by its rule and its header fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestProfile {
    /// The place in the queue.
    pub(crate) priority: RequestPriority,
    /// When the answer must be there.
    pub(crate) deadline: ClockMillis,
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
        let rule = spec.rules.iter().find(|rule| applies(rule, method, path));
        let ruled = rule.and_then(|rule| rule.deadline).unwrap_or(spec.deadline);
        let span = match deadline_field {
            Some(text) => parse_deadline(text)?,
            None => ruled,
        };
        Ok(Self {
            priority: rule.map(|rule| rule.priority).unwrap_or_default(),
            deadline: now.after(span.min(LONGEST_DEADLINE)),
            idempotent: rule
                .and_then(|rule| rule.idempotent)
                .unwrap_or_else(|| is_idempotent(method)),
            kind: rule.map_or(RequestKind::Slotted, kind_of),
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

fn applies(rule: &TrafficRule, method: &str, path: &str) -> bool {
    let methods = &rule.methods;
    let method_fits = methods.is_empty() || methods.iter().any(|name| name == method);
    method_fits && path.starts_with(&rule.path_prefix)
}

fn kind_of(rule: &TrafficRule) -> RequestKind {
    if rule.stream {
        RequestKind::Stream
    } else {
        RequestKind::Slotted
    }
}

fn is_idempotent(method: &str) -> bool {
    matches!(
        method,
        "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS" | "TRACE"
    )
}

fn parse_deadline(text: &str) -> Result<SpanMillis, ProfileError> {
    text.trim()
        .parse()
        .map(SpanMillis::new)
        .map_err(|_| ProfileError::MalformedDeadline)
}
