use serde::{Deserialize, Serialize};

use crate::clock::ClockMillis;

/// The open work of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct OpenWork {
    /// Requests that hold a slot.
    pub(crate) running: u32,
    /// Requests that wait for a slot.
    pub(crate) waiting: u32,
    /// Streams that hold no slot.
    pub(crate) streams: u32,
    /// Requests that run here on behalf of a peer.
    pub(crate) relayed: u32,
}

impl OpenWork {
    /// Returns whether there is no open work.
    pub(crate) fn is_empty(self) -> bool {
        self == Self::default()
    }
}

/// The stage of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "stage")]
pub(crate) enum DrainStage {
    /// No drain is in progress.
    Serving,
    /// New connections are passed on; open work continues.
    Leaving {
        /// When the drain began.
        since: ClockMillis,
        /// When open work is cut, if the operator set a deadline.
        cut_at: Option<ClockMillis>,
    },
    /// No work is open.
    Drained {
        /// When the drain finished.
        since: ClockMillis,
        /// Whether open work was cut at the operator's deadline.
        cut: bool,
    },
}

/// The report of a drain for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DrainReport {
    /// The stage.
    pub(crate) stage: DrainStage,
    /// Whether control has committed the announcement.
    pub(crate) announced: bool,
    /// The open work when it was last counted.
    pub(crate) open: OpenWork,
}
