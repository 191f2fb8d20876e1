use serde::{Deserialize, Serialize};

use super::{DiskId, GroupId, GroupSnapshot, LogEntry, LogIndex, TermNumber};

/// Raft's persistent state besides the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HardState {
    /// The identity of the data folder.
    pub(crate) disk: DiskId,
    /// The group that the data folder belongs to, if any.
    pub(crate) group: Option<GroupId>,
    /// The latest term seen.
    pub(crate) term: TermNumber,
    /// The candidate that got this data folder's vote in that term.
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

/// The content of a data folder when the replica starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RecoveredState {
    /// Identity, term and vote.
    pub(crate) hard_state: HardState,
    /// The latest snapshot.
    pub(crate) snapshot: Option<GroupSnapshot>,
    /// The entries in order, without gaps.
    pub(crate) entries: Vec<LogEntry>,
    /// The last saved commit index, zero if none was saved.
    pub(crate) commit: LogIndex,
}

impl RecoveredState {
    /// Returns whether the entries continue the snapshot's log: they include its
    /// last entry or begin right after it.
    pub(crate) fn entries_continue_snapshot(&self) -> bool {
        let Some(snapshot) = &self.snapshot else {
            return true;
        };
        let is_included =
            |entry: &LogEntry| entry.index == snapshot.index && entry.term == snapshot.term;
        let first = self.entries.first().map(|entry| entry.index);
        first == Some(snapshot.index.next()) || self.entries.iter().any(is_included)
    }

    /// Returns whether entries are missing before the first one: after the
    /// snapshot or, without a snapshot, from the start of the log.
    pub(crate) fn has_entry_gap(&self) -> bool {
        let snapshot_index = self.snapshot.as_ref().map(|snapshot| snapshot.index);
        let next = snapshot_index.unwrap_or_default().next();
        self.entries.first().is_some_and(|first| first.index > next)
    }

    /// Creates the content of an empty data folder.
    pub(crate) const fn new(disk: DiskId) -> Self {
        Self {
            hard_state: HardState::new(disk),
            snapshot: None,
            entries: Vec::new(),
            commit: LogIndex::ZERO,
        }
    }
}
