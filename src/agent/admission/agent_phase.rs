use serde::Serialize;

use crate::clock::ClockMillis;

/// What an agent does with new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum AgentPhase {
    /// Takes a growing share of them.
    Warming {
        /// When the upstream began to answer.
        since: ClockMillis,
    },
    /// Takes its full share.
    Serving,
    /// Takes none.
    Leaving,
}
