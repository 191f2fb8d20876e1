use serde::{Deserialize, Serialize};

use crate::clock::SpanMillis;

/// The parameter of the call `drain`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct DrainRequest {
    /// When to cut what still runs; without one, nothing is cut.
    #[serde(rename = "deadline_millis")]
    pub(crate) deadline: Option<SpanMillis>,
}

/// What an operator wants of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainCommand {
    /// Start it, or set the deadline of one that runs.
    Begin(DrainRequest),
    /// Take it back.
    Cancel,
    /// Tell how far it has come.
    Report,
}
