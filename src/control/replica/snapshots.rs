//! Taking snapshots, sending them in chunks and installing them.

use super::{
    DiskId, EntryPayload, GroupMembers, GroupSnapshot, LogIndex, MemberId, PeerBody, ReplicaAction,
    ReplicaCore, TermNumber,
    limits::{COMPACTION_BYTES, MAX_SNAPSHOT_BYTES, SNAPSHOT_CHUNK_BYTES},
    peer_progress::{PeerProgress, ProgressPhase},
};
use crate::clock::ClockMillis;

/// A snapshot of which only the first chunks have arrived.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    index: LogIndex,
    term: TermNumber,
    members: GroupMembers,
    total: usize,
    bytes: Vec<u8>,
}

impl IncomingSnapshot {
    fn is_same(&self, index: LogIndex, term: TermNumber, total: usize) -> bool {
        self.index == index && self.term == term && self.total == total
    }

    fn is_complete(&self) -> bool {
        self.bytes.len() == self.total
    }

    fn finish(self) -> GroupSnapshot {
        GroupSnapshot {
            index: self.index,
            term: self.term,
            members: self.members,
            payload: EntryPayload::new(self.bytes),
        }
    }
}

impl PeerProgress {
    /// Returns the next chunk of the snapshot, unless one is in flight.
    pub(super) fn next_chunk(&mut self, now: ClockMillis) -> Option<PeerBody> {
        let ProgressPhase::SendingSnapshot { snapshot, offset } = &self.phase else {
            return None;
        };
        if self.messages_in_flight > 0 {
            return None;
        }
        let payload = snapshot.payload.bytes();
        let end = payload.len().min(offset + SNAPSHOT_CHUNK_BYTES);
        let body = PeerBody::SnapshotChunk {
            index: snapshot.index,
            entry_term: snapshot.term,
            members: snapshot.members.clone(),
            total: payload.len() as u64,
            offset: *offset as u64,
            bytes: EntryPayload::new(payload[*offset..end].to_vec()),
        };
        self.messages_in_flight = 1;
        self.last_activity_at = now;
        Some(body)
    }
}

impl ReplicaCore {
    /// Has the state machine restore the latest snapshot, if there is one.
    pub(super) fn restore_snapshot(&mut self) {
        if let Some(snapshot) = self.log.snapshot() {
            let payload = snapshot.payload.clone();
            self.actions.push(ReplicaAction::Restore { payload });
        }
    }

    /// Requests a snapshot from the state machine when the log is due for compaction.
    pub(super) fn request_snapshot(&mut self) {
        let new_entries = self.applied.distance(self.log.snapshot_index());
        let log_is_large = self.log.bytes() >= COMPACTION_BYTES && new_entries > 0;
        if self.snapshot_requested
            || (new_entries < self.compaction.interval_entries && !log_is_large)
        {
            return;
        }
        self.snapshot_requested = true;
        let index = self.applied;
        self.actions.push(ReplicaAction::TakeSnapshot { index });
    }

    /// Stores a snapshot from the state machine and compacts the log.
    pub(super) fn store_snapshot(&mut self, index: LogIndex, payload: EntryPayload) {
        self.snapshot_requested = false;
        let is_newer = index > self.log.snapshot_index() && index <= self.applied;
        let Some(term) = self.log.term_at(index).filter(|_| is_newer) else {
            return;
        };
        let snapshot = GroupSnapshot {
            index,
            term,
            members: self.log.members_at(index).clone(),
            payload,
        };
        self.log
            .compact(snapshot.clone(), self.compaction.retained_entries);
        self.disk.save_snapshot(snapshot, self.log.base_index());
    }

    /// Handles a chunk of the leader's snapshot; installs the snapshot when complete.
    pub(super) fn handle_snapshot_chunk(&mut self, from: MemberId, body: PeerBody) {
        let PeerBody::SnapshotChunk {
            index,
            entry_term,
            members,
            total,
            offset,
            bytes,
        } = body
        else {
            return;
        };
        if index <= self.commit || self.log.term_at(index) == Some(entry_term) {
            let match_index = index.max(self.commit);
            self.commit_to(index);
            self.send_after_sync(from, PeerBody::AppendAccepted { match_index });
            return;
        }
        let Some(total) = usize::try_from(total)
            .ok()
            .filter(|total| *total <= MAX_SNAPSHOT_BYTES)
        else {
            return;
        };
        let partial = self.incoming_snapshot.take();
        let mut incoming = partial
            .filter(|incoming| incoming.is_same(index, entry_term, total))
            .unwrap_or_else(|| IncomingSnapshot {
                index,
                term: entry_term,
                members,
                total,
                bytes: Vec::new(),
            });
        let fits = incoming.bytes.len() + bytes.bytes().len() <= total;
        if offset == incoming.bytes.len() as u64 && fits {
            incoming.bytes.extend_from_slice(bytes.bytes());
        }
        if incoming.is_complete() {
            self.install_snapshot(incoming.finish());
            self.send_after_sync(from, PeerBody::AppendAccepted { match_index: index });
            return;
        }
        let received = incoming.bytes.len() as u64;
        self.incoming_snapshot = Some(incoming);
        self.send(from, PeerBody::SnapshotChunkResponse { index, received });
    }

    fn install_snapshot(&mut self, snapshot: GroupSnapshot) {
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.log.reset(snapshot.clone());
        self.disk.replace_log(snapshot);
        self.restore_snapshot();
        self.answer_applied_reads();
    }

    /// Records how much of a snapshot a member has received.
    pub(super) fn handle_chunk_response(
        &mut self,
        disk: DiskId,
        index: LogIndex,
        received: u64,
        now: ClockMillis,
    ) {
        let Some(progress) = self.progress_after_contact(disk, now) else {
            return;
        };
        let ProgressPhase::SendingSnapshot { snapshot, offset } = &mut progress.phase else {
            return;
        };
        let Ok(received) = usize::try_from(received) else {
            return;
        };
        if snapshot.index == index && received <= snapshot.payload.bytes().len() {
            *offset = received;
            progress.messages_in_flight = 0;
            progress.last_activity_at = now;
        }
    }
}
