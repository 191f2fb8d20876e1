use serde::{Deserialize, Serialize};

use super::TargetRecord;

/// How far a watcher has followed one replica's directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct DirectoryPlace {
    /// A random number that names the run of the replica's directory.
    pub(crate) run: u64,
    /// The changes of that run that the watcher has.
    pub(crate) revision: u64,
}

/// What changed in a directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DirectoryNews {
    /// The place that the news leads to.
    pub(crate) place: DirectoryPlace,
    /// Whether the records are the whole directory.
    pub(crate) whole: bool,
    /// Whether the directory has heard every agent that still runs.
    pub(crate) settled: bool,
    /// The records.
    pub(crate) records: Vec<TargetRecord>,
}
