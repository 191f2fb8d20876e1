use serde::Serialize;

use super::ModelMicros;

/// A fault or load change at a fixed time of a run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(crate) struct FaultEntry {
    /// Its start, from the start of the run.
    pub(crate) at: ModelMicros,
    /// The fault or load change.
    pub(crate) kind: FaultKind,
}

/// A fault, a planned change of a target, or a change of the offered load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FaultKind {
    /// A target runs at a fraction of its speed.
    Slow {
        /// The target.
        target: usize,
        /// The remaining fraction of its speed.
        speed: f64,
    },
    /// A target joins, cold and without connections.
    ColdStart {
        /// The target; absent until now.
        target: usize,
    },
    /// A target drains: it finishes its requests and asks its callers to reconnect elsewhere.
    Drain {
        /// The target.
        target: usize,
    },
    /// A target stops, losing its connections and running requests.
    Crash {
        /// The target.
        target: usize,
    },
    /// A target is partitioned: no message to or from it arrives.
    Silence {
        /// The target.
        target: usize,
    },
    /// The request rate changes to a multiple of the base rate.
    Rate {
        /// The multiple.
        factor: f64,
    },
    /// More callers connect, spread over a time span.
    Callers {
        /// The number of callers.
        count: usize,
        /// The time span.
        over: ModelMicros,
    },
}
