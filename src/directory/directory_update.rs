use serde::{Deserialize, Serialize};

use super::TargetRecord;

/// The position up to which a watcher has followed the directory of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct DirectoryPosition {
    /// A random number that identifies the run of the replica.
    pub(crate) run: u64,
    /// The last revision of that run that the watcher has.
    pub(crate) revision: u64,
}

/// The changes of a directory since a position, or all of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DirectoryUpdate {
    /// The position after these changes.
    #[serde(rename = "place")]
    pub(crate) position: DirectoryPosition,
    /// Whether the records are the full directory.
    #[serde(rename = "whole")]
    pub(crate) full: bool,
    /// Whether the directory has heard from every running agent.
    pub(crate) settled: bool,
    /// The new or changed records.
    pub(crate) records: Vec<TargetRecord>,
}
