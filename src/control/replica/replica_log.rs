use std::collections::VecDeque;

use super::{
    EntryBody, GroupMembers, GroupSnapshot, LogEntry, LogIndex, RecoveredState, TermNumber,
    limits::{COMPACTION_ENTRIES, RETAINED_BYTES, RETAINED_ENTRIES},
};

/// When the log is compacted, and what stays for members that lag a little.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LogCompaction {
    /// The applied entries after which a snapshot is taken.
    pub(crate) interval_entries: u64,
    /// The entries before the snapshot that stay.
    pub(crate) retained_entries: u64,
}

impl LogCompaction {
    /// Creates the ordinary compaction.
    pub(crate) const fn new() -> Self {
        Self {
            interval_entries: COMPACTION_ENTRIES,
            retained_entries: RETAINED_ENTRIES,
        }
    }
}

/// The log as held in memory: the newest snapshot and the entries near its end.
#[derive(Debug, Clone)]
pub(crate) struct ReplicaLog {
    /// The place before the first held entry.
    base_index: LogIndex,
    base_term: TermNumber,
    entries: VecDeque<LogEntry>,
    bytes: usize,
    snapshot: Option<GroupSnapshot>,
    /// Each set of members that a held entry or the snapshot brought.
    member_history: Vec<(LogIndex, GroupMembers)>,
}

impl ReplicaLog {
    /// Rebuilds the log from what the data folder holds.
    pub(crate) fn new(recovered: RecoveredState) -> Self {
        let connects = recovered.entries_connect();
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
            if !connects {
                entries.clear();
            }
            if entries.first().is_some_and(|first| first.index <= index) {
                // The first entry stands for what came before the second one.
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

    /// Returns the last entry's place.
    pub(crate) fn last_index(&self) -> LogIndex {
        self.entries
            .back()
            .map_or(self.base_index, |entry| entry.index)
    }

    /// Returns the last entry's term.
    pub(crate) fn last_term(&self) -> TermNumber {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`, if it is known.
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

    /// Returns the entry at `index`, if it is held.
    pub(crate) fn entry_at(&self, index: LogIndex) -> Option<&LogEntry> {
        if index <= self.base_index {
            return None;
        }
        let offset = index.distance(self.base_index) - 1;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `first` on, within the limits but at least one.
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

    /// Appends the entry that follows the last one.
    pub(crate) fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        if let EntryBody::Members(members) = &entry.body {
            // Entries that the snapshot includes bring no newer members.
            if entry.index > self.members_index() {
                self.member_history.push((entry.index, members.clone()));
            }
        }
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Drops the entries from `first` on.
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

    /// Returns the group's members at the end of the log.
    pub(crate) fn members(&self) -> &GroupMembers {
        &self.member_history[self.member_history.len() - 1].1
    }

    /// Returns the entry that brought these members.
    pub(crate) fn members_index(&self) -> LogIndex {
        self.member_history[self.member_history.len() - 1].0
    }

    /// Returns the group's members after the entry at `index`.
    pub(crate) fn members_at(&self, index: LogIndex) -> &GroupMembers {
        let found = self
            .member_history
            .iter()
            .rev()
            .find(|(from, _)| *from <= index);
        &found.unwrap_or(&self.member_history[0]).1
    }

    /// Returns the newest snapshot.
    pub(crate) fn snapshot(&self) -> Option<&GroupSnapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the last entry that the newest snapshot includes.
    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot
            .as_ref()
            .map_or(LogIndex::ZERO, |snapshot| snapshot.index)
    }

    /// Returns the place before the first held entry.
    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    /// Returns the bytes of the held entries.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Replaces the whole log by a snapshot.
    pub(crate) fn reset(&mut self, snapshot: GroupSnapshot) {
        self.entries.clear();
        self.bytes = 0;
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.member_history = vec![(snapshot.index, snapshot.members.clone())];
        self.snapshot = Some(snapshot);
    }

    /// Takes over a snapshot of what this log holds and drops old entries.
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
