use serde::Serialize;

use super::ModelMicros;

/// Something that happens to the system at a set time of a run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(crate) struct FaultEntry {
    /// When it happens.
    pub(crate) at: ModelMicros,
    /// What happens.
    pub(crate) kind: FaultKind,
}

/// What happens to the system.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FaultKind {
    /// A target goes on at a part of its speed.
    Slow {
        /// The target.
        target: usize,
        /// The part of its speed that is left.
        speed: f64,
    },
    /// A further target joins, cold and without connections.
    ColdStart {
        /// The target; it is absent before.
        target: usize,
    },
    /// A target leaves: it finishes what it has and asks its callers to move.
    Drain {
        /// The target.
        target: usize,
    },
    /// A target is gone, with its connections and what it runs.
    Crash {
        /// The target.
        target: usize,
    },
    /// Nothing that goes to or from a target arrives any more.
    Silence {
        /// The target.
        target: usize,
    },
    /// The rate of requests changes to this share of the usual one.
    Rate {
        /// The share.
        factor: f64,
    },
    /// Further callers connect, spread over a span.
    Callers {
        /// How many.
        count: usize,
        /// The span.
        over: ModelMicros,
    },
}
