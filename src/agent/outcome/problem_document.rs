use serde::{Deserialize, Serialize};

/// Whether a request ran, as far as the agent knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RunState {
    /// It did not run and never will.
    NotRun,
    /// It is running.
    Running,
    /// It ran once.
    Ran,
    /// It may have run.
    Unknown,
}

/// The body of a final answer: a problem document (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ProblemDocument {
    /// The problem type, a URN.
    #[serde(rename = "type")]
    pub(crate) kind: String,
    /// A short summary of the problem type.
    pub(crate) title: String,
    /// The HTTP status, for logs that hold only the body.
    pub(crate) status: u16,
    /// An explanation of what happened to this request.
    pub(crate) detail: String,
    /// Whether the request certainly did not run and never will.
    pub(crate) not_run: bool,
    /// Whether the request ran, as far as the agent knows.
    pub(crate) outcome: RunState,
    /// How long to wait before trying again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) retry_after_millis: Option<u64>,
    /// A new ticket to send as `Idempotency-Key`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) ticket: Option<String>,
}

impl ProblemDocument {
    /// Adds a new ticket for the next attempt.
    pub(crate) fn with_ticket(mut self, ticket: String) -> Self {
        self.ticket = Some(ticket);
        self
    }
}
