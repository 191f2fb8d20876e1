use serde::{Deserialize, Serialize};

use crate::clock::ClockMillis;

/// What is open at an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct OpenWork {
    /// Requests that hold a slot.
    pub(crate) running: u32,
    /// Requests that wait for one.
    pub(crate) waiting: u32,
    /// Streams that hold no slot.
    pub(crate) streams: u32,
    /// Requests that run here for a peer.
    pub(crate) relayed: u32,
}

impl OpenWork {
    /// Tells whether nothing is open.
    pub(crate) fn is_empty(self) -> bool {
        self == Self::default()
    }
}

/// How far a drain has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "stage")]
pub(crate) enum DrainStage {
    /// No drain runs.
    Serving,
    /// New work is passed on; open work goes on.
    Leaving {
        /// When the drain began.
        since: ClockMillis,
        /// When open work is cut, if the operator said so.
        cut_at: Option<ClockMillis>,
    },
    /// Nothing is open any more.
    Drained {
        /// When the last of it was finished.
        since: ClockMillis,
        /// Whether open work was cut on the operator's word.
        cut: bool,
    },
}

/// What an operator sees of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DrainReport {
    /// How far it has come.
    pub(crate) stage: DrainStage,
    /// Whether control has committed the announcement.
    pub(crate) announced: bool,
    /// What was open when it was last counted.
    pub(crate) open: OpenWork,
}
