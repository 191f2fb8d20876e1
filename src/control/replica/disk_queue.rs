use super::{GroupSnapshot, HardState, LogEntry, LogIndex, PeerMessage, ReplicaId};

/// Identifies a batch until it is synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub(crate) struct SyncToken(pub(crate) u64);

/// Changes to the data folder that are written and synced together, in the
/// order of the fields.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct DiskBatch {
    /// Returned when the batch is synced.
    pub(crate) token: SyncToken,
    /// A new term, vote or group.
    pub(crate) hard_state: Option<HardState>,
    pub(crate) snapshot: Option<GroupSnapshot>,
    /// Whether the snapshot replaces all entries written before.
    pub(crate) replaces_log: bool,
    /// Entries up to this index may be removed once the snapshot is synced.
    pub(crate) compacted_index: LogIndex,
    /// Entries to append; the first replaces earlier entries from its index on.
    pub(crate) entries: Vec<LogEntry>,
    /// The commit index to save, if any.
    pub(crate) commit: Option<LogIndex>,
}

/// A message that must not be sent before a batch is synced.
#[derive(Debug, Clone)]
pub(crate) struct DeferredMessage {
    /// The receiver.
    pub(crate) to: ReplicaId,
    /// The message.
    pub(crate) message: PeerMessage,
}

#[derive(Debug)]
struct SyncInFlight {
    token: SyncToken,
    saves_state: bool,
    last_index: Option<LogIndex>,
    deferred: Vec<DeferredMessage>,
}

/// Group commit: at most one batch is being synced, and writes that arrive
/// meanwhile share the next batch.
#[derive(Debug)]
pub(crate) struct DiskQueue {
    batch: DiskBatch,
    dirty: bool,
    deferred: Vec<DeferredMessage>,
    in_flight: Option<SyncInFlight>,
    durable_index: LogIndex,
}

impl DiskQueue {
    /// Creates a queue for a data folder with a log up to `durable_index`.
    pub(crate) fn new(durable_index: LogIndex) -> Self {
        Self {
            batch: DiskBatch::default(),
            dirty: false,
            deferred: Vec::new(),
            in_flight: None,
            durable_index,
        }
    }

    /// Returns the index of the last synced entry.
    pub(crate) fn durable_index(&self) -> LogIndex {
        self.durable_index
    }

    /// Queues a new term, vote or group.
    pub(crate) fn save_hard_state(&mut self, state: HardState) {
        self.batch.hard_state = Some(state);
        self.dirty = true;
    }

    /// Returns whether a term, vote or group is queued or being synced.
    pub(crate) fn has_unsynced_state(&self) -> bool {
        let is_being_synced = self.in_flight.as_ref().is_some_and(|sync| sync.saves_state);
        is_being_synced || self.batch.hard_state.is_some()
    }

    /// Queues the commit index.
    pub(crate) fn save_commit(&mut self, commit: LogIndex) {
        self.batch.commit = Some(commit);
        self.dirty = true;
    }

    /// Queues an entry; it replaces earlier entries from its index on.
    pub(crate) fn save_entry(&mut self, entry: LogEntry) {
        let first = entry.index;
        self.batch.entries.retain(|earlier| earlier.index < first);
        self.durable_index = self.durable_index.min(first.previous());
        if let Some(sync) = &mut self.in_flight {
            sync.last_index = sync.last_index.map(|last| last.min(first.previous()));
        }
        self.batch.entries.push(entry);
        self.dirty = true;
    }

    /// Queues a snapshot of a prefix of the log.
    pub(crate) fn save_snapshot(&mut self, snapshot: GroupSnapshot, compacted_index: LogIndex) {
        self.batch.snapshot = Some(snapshot);
        self.batch.compacted_index = compacted_index;
        self.dirty = true;
    }

    /// Queues a snapshot that replaces the whole log.
    pub(crate) fn replace_log(&mut self, snapshot: GroupSnapshot) {
        self.batch.entries.clear();
        self.batch.replaces_log = true;
        self.durable_index = LogIndex::ZERO;
        if let Some(sync) = &mut self.in_flight {
            sync.last_index = None;
        }
        let index = snapshot.index;
        self.save_snapshot(snapshot, index);
    }

    /// Defers a message until everything queued so far is synced.
    ///
    /// Returns the message if there is nothing to wait for.
    pub(crate) fn defer(&mut self, deferred: DeferredMessage) -> Option<DeferredMessage> {
        if self.dirty {
            self.deferred.push(deferred);
            return None;
        }
        match &mut self.in_flight {
            Some(sync) => {
                sync.deferred.push(deferred);
                None
            }
            None => Some(deferred),
        }
    }

    /// Returns the next batch, unless it is empty or another one is being synced.
    pub(crate) fn next_batch(&mut self) -> Option<DiskBatch> {
        if !self.dirty || self.in_flight.is_some() {
            return None;
        }
        let token = SyncToken(self.batch.token.0 + 1);
        let next = DiskBatch {
            token,
            ..DiskBatch::default()
        };
        let mut batch = std::mem::replace(&mut self.batch, next);
        batch.token = token;
        let snapshot_index = batch
            .snapshot
            .as_ref()
            .filter(|_| batch.replaces_log)
            .map(|snapshot| snapshot.index);
        let entry_index = batch.entries.last().map(|entry| entry.index);
        self.in_flight = Some(SyncInFlight {
            token,
            saves_state: batch.hard_state.is_some(),
            last_index: entry_index.or(snapshot_index),
            deferred: std::mem::take(&mut self.deferred),
        });
        self.dirty = false;
        Some(batch)
    }

    /// Records that a batch is synced; returns the messages that may be sent now.
    pub(crate) fn finish(&mut self, token: SyncToken) -> Vec<DeferredMessage> {
        let Some(sync) = self.in_flight.take_if(|sync| sync.token == token) else {
            return Vec::new();
        };
        if let Some(last) = sync.last_index {
            self.durable_index = self.durable_index.max(last);
        }
        sync.deferred
    }
}
