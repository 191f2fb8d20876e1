use std::collections::BTreeMap;

use rand::{Rng, rngs::StdRng};

use crate::control::replica::{
    DiskBatch, DiskId, MemberId, RecoveredState, ReplicaCore, ReplicaId,
};

/// A replica with its disk; its state machine is a map of the applied changes.
pub(super) struct TestNode {
    pub(super) core: Option<ReplicaCore>,
    pub(super) disk: RecoveredState,
    pub(super) pending_sync: Option<DiskBatch>,
    pub(super) state: BTreeMap<u64, Vec<u8>>,
}

impl TestNode {
    pub(super) fn new(rng: &mut StdRng) -> Self {
        Self {
            core: None,
            disk: RecoveredState::new(DiskId::new(rng.random())),
            pending_sync: None,
            state: BTreeMap::new(),
        }
    }

    /// Returns the member that the replica is on its disk.
    pub(super) fn member_id(&self, replica: ReplicaId) -> MemberId {
        MemberId {
            replica,
            disk: self.disk.hard_state.disk,
        }
    }

    pub(super) fn write(&mut self, batch: DiskBatch, max_entries: usize) {
        if let Some(state) = batch.hard_state {
            self.disk.hard_state = state;
        }
        if let Some(commit) = batch.commit {
            self.disk.commit = commit;
        }
        if let Some(snapshot) = batch.snapshot {
            let compacted_index = batch.compacted_index;
            let replaces_log = batch.replaces_log;
            self.disk
                .entries
                .retain(|entry| !replaces_log && entry.index > compacted_index);
            self.disk.snapshot = Some(snapshot);
        }
        for entry in batch.entries.into_iter().take(max_entries) {
            self.disk
                .entries
                .retain(|earlier| earlier.index < entry.index);
            self.disk.entries.push(entry);
        }
    }
}
