use serde::{Deserialize, Serialize};

use crate::clock::SpanMillis;

/// The parameter of the method `drain`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct DrainRequest {
    /// The time after which open work is cut; without it, nothing is cut.
    #[serde(rename = "deadline_millis")]
    pub(crate) deadline: Option<SpanMillis>,
}

/// An operator's command on a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainCommand {
    /// Starts a drain, or sets the deadline of a running one.
    Start(DrainRequest),
    /// Cancels the drain.
    Cancel,
    /// Reports the progress of the drain.
    Report,
}
