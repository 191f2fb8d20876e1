use serde::{Deserialize, Serialize};

/// Whether the request ran, as far as the agent can know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RunState {
    /// It did not run and can't run later.
    NotRun,
    /// A run of it is in progress.
    Running,
    /// It ran once.
    Ran,
    /// It may have run.
    Unknown,
}

/// The body of a final answer, in the form of RFC 9457.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ProblemDocument {
    /// Names the kind of problem.
    #[serde(rename = "type")]
    pub(crate) kind: String,
    /// The kind in a few words.
    pub(crate) title: String,
    /// The status code, for logs that hold only the body.
    pub(crate) status: u16,
    /// What happened to this request.
    pub(crate) detail: String,
    /// Whether the request surely did not run and never will.
    pub(crate) not_run: bool,
    /// Whether the request ran.
    pub(crate) outcome: RunState,
    /// When to come back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) retry_after_millis: Option<u64>,
    /// A fresh ticket to send as `Idempotency-Key`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) ticket: Option<String>,
}

impl ProblemDocument {
    /// Encloses a fresh ticket for the next attempt.
    pub(crate) fn with_ticket(mut self, ticket: String) -> Self {
        self.ticket = Some(ticket);
        self
    }
}
