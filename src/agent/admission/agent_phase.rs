use serde::Serialize;

use crate::{clock::ClockMillis, route::TargetPhase};

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

impl AgentPhase {
    /// Returns the phase as control announces it.
    #[allow(dead_code, reason = "the announcement follows the drain alone so far")]
    pub(crate) const fn announced(self) -> TargetPhase {
        match self {
            Self::Warming { .. } => TargetPhase::Warming,
            Self::Serving => TargetPhase::Serving,
            Self::Leaving => TargetPhase::Leaving,
        }
    }
}
