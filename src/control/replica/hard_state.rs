use serde::{Deserialize, Serialize};

use super::{DiskId, GroupId, GroupSnapshot, LogEntry, LogIndex, TermNumber};

/// What a replica must remember besides the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HardState {
    /// The identity of the data folder.
    pub(crate) disk: DiskId,
    /// The group that the data folder belongs to, once it does.
    pub(crate) group: Option<GroupId>,
    /// The newest term that was heard of.
    pub(crate) term: TermNumber,
    /// Who got this data folder's vote in that term.
    pub(crate) voted_for: Option<DiskId>,
}

impl HardState {
    /// Creates the state of an empty data folder.
    pub(crate) const fn new(disk: DiskId) -> Self {
        Self {
            disk,
            group: None,
            term: TermNumber::ZERO,
            voted_for: None,
        }
    }
}

/// What a replica finds in its data folder when it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RecoveredState {
    /// Term, vote and identity.
    pub(crate) hard_state: HardState,
    /// The newest snapshot.
    pub(crate) snapshot: Option<GroupSnapshot>,
    /// The entries in order without gaps.
    pub(crate) entries: Vec<LogEntry>,
    /// The last entry that was known to be committed, zero if unknown.
    pub(crate) commit: LogIndex,
}

impl RecoveredState {
    /// Returns whether the entries belong to the log that the snapshot stands
    /// for: they include its last entry or begin right after it.
    pub(crate) fn entries_connect(&self) -> bool {
        let Some(snapshot) = &self.snapshot else {
            return true;
        };
        let overlap =
            |entry: &LogEntry| entry.index == snapshot.index && entry.term == snapshot.term;
        let first = self.entries.first().map(|entry| entry.index);
        first == Some(snapshot.index.next()) || self.entries.iter().any(overlap)
    }

    /// Returns whether entries are missing between the snapshot, or the
    /// beginning of the log, and the first entry.
    pub(crate) fn lacks_entries(&self) -> bool {
        let held = self.snapshot.as_ref().map(|snapshot| snapshot.index);
        let next = held.unwrap_or_default().next();
        self.entries.first().is_some_and(|first| first.index > next)
    }

    /// Creates what an empty data folder holds.
    #[cfg(test)]
    pub(crate) const fn new(disk: DiskId) -> Self {
        Self {
            hard_state: HardState::new(disk),
            snapshot: None,
            entries: Vec::new(),
            commit: LogIndex::ZERO,
        }
    }
}
