use std::collections::VecDeque;

use super::{
    EntryBody, GroupMembers, GroupSnapshot, LogEntry, LogIndex, RecoveredState, TermNumber,
    limits::{COMPACTION_ENTRIES, RETAINED_BYTES, RETAINED_ENTRIES},
};

/// When the log is compacted, and how many entries a compaction retains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LogCompaction {
    /// Entries applied between two snapshots.
    pub(crate) interval_entries: u64,
    /// Entries before the snapshot that are retained for members that lag a little.
    pub(crate) retained_entries: u64,
}

impl LogCompaction {
    /// Creates the default compaction.
    pub(crate) const fn new() -> Self {
        Self {
            interval_entries: COMPACTION_ENTRIES,
            retained_entries: RETAINED_ENTRIES,
        }
    }
}

/// The log in memory: the latest snapshot and the entries from around its end.
#[derive(Debug, Clone)]
pub(crate) struct ReplicaLog {
    /// The index before the first entry in memory.
    base_index: LogIndex,
    base_term: TermNumber,
    entries: VecDeque<LogEntry>,
    bytes: usize,
    snapshot: Option<GroupSnapshot>,
    /// The memberships set by the snapshot and by entries in memory, by index.
    member_history: Vec<(LogIndex, GroupMembers)>,
}

impl ReplicaLog {
    /// Creates the log from the content of the data folder.
    pub(crate) fn new(recovered: RecoveredState) -> Self {
        let continues_snapshot = recovered.entries_continue_snapshot();
        let mut log = Self {
            base_index: LogIndex::ZERO,
            base_term: TermNumber::ZERO,
            entries: VecDeque::new(),
            bytes: 0,
            snapshot: None,
            member_history: vec![(LogIndex::ZERO, GroupMembers::default())],
        };
        let mut entries = recovered.entries;
        if let Some(snapshot) = recovered.snapshot {
            let index = snapshot.index;
            log.reset(snapshot);
            if !continues_snapshot {
                entries.clear();
            }
            if entries.first().is_some_and(|first| first.index <= index) {
                // The first entry only provides the index and term before the second.
                let first = entries.remove(0);
                log.base_index = first.index;
                log.base_term = first.term;
            }
        }
        for entry in entries {
            log.append(entry);
        }
        log
    }

    /// Returns the index of the last entry.
    pub(crate) fn last_index(&self) -> LogIndex {
        self.entries
            .back()
            .map_or(self.base_index, |entry| entry.index)
    }

    /// Returns the term of the last entry.
    pub(crate) fn last_term(&self) -> TermNumber {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`, if known.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<TermNumber> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        if let Some(snapshot) = &self.snapshot
            && snapshot.index == index
        {
            return Some(snapshot.term);
        }
        self.entry_at(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, if it is in memory.
    pub(crate) fn entry_at(&self, index: LogIndex) -> Option<&LogEntry> {
        if index <= self.base_index {
            return None;
        }
        let offset = index.distance(self.base_index) - 1;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `first` on within the limits, at least one if there
    /// are any.
    pub(crate) fn entries_from(
        &self,
        first: LogIndex,
        max_entries: usize,
        max_bytes: usize,
    ) -> Vec<LogEntry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut index = first;
        while let Some(entry) = self.entry_at(index) {
            bytes += entry.size();
            if !entries.is_empty() && (bytes > max_bytes || entries.len() >= max_entries) {
                break;
            }
            entries.push(entry.clone());
            index = index.next();
        }
        entries
    }

    /// Appends an entry; its index must follow the last one.
    pub(crate) fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        if let EntryBody::Members(members) = &entry.body {
            // The snapshot already contains the members of entries that it includes.
            if entry.index > self.members_index() {
                self.member_history.push((entry.index, members.clone()));
            }
        }
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Removes the entries from `first` on.
    pub(crate) fn truncate(&mut self, first: LogIndex) {
        while self.last_index() >= first {
            let Some(entry) = self.entries.pop_back() else {
                break;
            };
            self.bytes -= entry.size();
        }
        while self.member_history.len() > 1 && self.members_index() >= first {
            self.member_history.pop();
        }
    }

    /// Returns the latest members in the log, committed or not.
    pub(crate) fn members(&self) -> &GroupMembers {
        &self.member_history[self.member_history.len() - 1].1
    }

    /// Returns the index of the entry that set the latest members.
    pub(crate) fn members_index(&self) -> LogIndex {
        self.member_history[self.member_history.len() - 1].0
    }

    /// Returns the group's members as of the entry at `index`.
    pub(crate) fn members_at(&self, index: LogIndex) -> &GroupMembers {
        let found = self
            .member_history
            .iter()
            .rev()
            .find(|(from, _)| *from <= index);
        &found.unwrap_or(&self.member_history[0]).1
    }

    /// Returns the latest snapshot.
    pub(crate) fn snapshot(&self) -> Option<&GroupSnapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the last index included in the latest snapshot, zero without one.
    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot
            .as_ref()
            .map_or(LogIndex::ZERO, |snapshot| snapshot.index)
    }

    /// Returns the index before the first entry in memory.
    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    /// Returns the approximate size of the entries in memory.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Replaces the whole log with a snapshot.
    pub(crate) fn reset(&mut self, snapshot: GroupSnapshot) {
        self.entries.clear();
        self.bytes = 0;
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.member_history = vec![(snapshot.index, snapshot.members.clone())];
        self.snapshot = Some(snapshot);
    }

    /// Stores a snapshot of this log and removes old entries.
    pub(crate) fn compact(&mut self, snapshot: GroupSnapshot, retained_entries: u64) {
        let first_retained = snapshot.index.back(retained_entries);
        let snapshot_index = snapshot.index;
        self.snapshot = Some(snapshot);
        while self.base_index < snapshot_index
            && (self.base_index < first_retained || self.bytes > RETAINED_BYTES)
            && let Some(entry) = self.entries.pop_front()
        {
            self.bytes -= entry.size();
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        let base = self.base_index;
        while self.member_history.len() > 1 && self.member_history[1].0 <= base {
            self.member_history.remove(0);
        }
    }
}
