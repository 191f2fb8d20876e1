use serde::Serialize;

use crate::clock::ClockMillis;

/// The agent's phase, which decides how it handles new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum AgentPhase {
    /// Accepts a growing share of them.
    Warming {
        /// When the upstream began to respond.
        since: ClockMillis,
    },
    /// Accepts its full share.
    Serving,
    /// Accepts none.
    Leaving,
}
