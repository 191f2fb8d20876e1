//! Log replication, on the leader and on followers.

use super::{
    DiskId, EntryBody, LogEntry, LogIndex, MemberId, PeerBody, ReplicaAction, ReplicaCore,
    ReplicaReport, TermNumber,
    candidate_state::CoreRole,
    leader_state::LeaderState,
    limits::{
        ELECTION_MAX_MILLIS, HEARTBEAT_MILLIS, MAX_APPEND_BYTES, MAX_APPEND_ENTRIES,
        MAX_APPENDS_IN_FLIGHT, RESEND_MILLIS,
    },
    peer_progress::{PeerProgress, ProgressPhase},
    replica_log::ReplicaLog,
};
use crate::clock::ClockMillis;

impl ReplicaCore {
    /// Appends an entry of this leader's term; returns its index.
    pub(super) fn append_entry(&mut self, body: EntryBody) -> LogIndex {
        let entry = LogEntry {
            index: self.log.last_index().next(),
            term: self.hard_state.term,
            body,
        };
        let index = entry.index;
        self.log.append(entry.clone());
        self.disk.save_entry(entry);
        index
    }

    pub(super) fn tick_leader(&mut self, now: ClockMillis) {
        self.check_quorum(now);
        let CoreRole::Leader(leader) = &mut self.role else {
            return;
        };
        for progress in leader.progress.values_mut() {
            if progress.has_unacknowledged()
                && now.since(progress.last_activity_at) >= RESEND_MILLIS
            {
                progress.restart(now);
            }
        }
        if now >= leader.heartbeat_at {
            self.send_heartbeats(now);
        }
    }

    /// Starts a new heartbeat round: sends a heartbeat to every other member.
    pub(super) fn send_heartbeats(&mut self, now: ClockMillis) {
        let commit = self.commit;
        let members = self.tracked_members();
        let joint_members = self.find_joint_members();
        self.note_joint_members(joint_members, self.log.last_index());
        let CoreRole::Leader(leader) = &mut self.role else {
            return;
        };
        leader.heartbeat_round += 1;
        leader.heartbeat_at = now.after(HEARTBEAT_MILLIS);
        let round = leader.heartbeat_round;
        let recipients: Vec<(MemberId, LogIndex)> = members
            .into_iter()
            .filter_map(|member_id| {
                let progress = leader.progress.get(&member_id.disk)?;
                Some((member_id, progress.match_index))
            })
            .collect();
        for (member_id, match_index) in recipients {
            let commit = commit.min(match_index);
            let body = PeerBody::Heartbeat { commit, round };
            let mut message = self.build_message(Some(member_id.disk), self.hard_state.term, body);
            message.tail.joint_members = joint_members;
            self.actions.push(ReplicaAction::Send {
                to: member_id.replica,
                message,
            });
        }
        self.confirm_reads();
    }

    /// Sends each responsive member the entries that it lacks, within its window.
    pub(super) fn replicate(&mut self, now: ClockMillis) {
        if !matches!(self.role, CoreRole::Leader(_)) {
            return;
        }
        let members = self.tracked_members();
        let CoreRole::Leader(leader) = &mut self.role else {
            return;
        };
        let mut outbox = Vec::new();
        for member_id in members {
            let Some(progress) = leader.progress.get_mut(&member_id.disk) else {
                continue;
            };
            if now.since(progress.last_contact_at) >= ELECTION_MAX_MILLIS {
                continue;
            }
            while let Some(body) = next_message(&self.log, progress, self.commit, now) {
                outbox.push((member_id, body));
            }
        }
        for (member_id, body) in outbox {
            self.send(member_id, body);
        }
    }

    /// Records what a member has synced.
    pub(super) fn handle_append_accepted(
        &mut self,
        disk: DiskId,
        match_index: LogIndex,
        now: ClockMillis,
    ) {
        let last_index = self.log.last_index();
        if let Some(progress) = self.progress_after_contact(disk, now)
            && match_index <= last_index
        {
            progress.acknowledge(match_index, now);
        }
    }

    /// Records that a member lacks the entry before those that were sent.
    pub(super) fn handle_append_rejected(
        &mut self,
        disk: DiskId,
        previous: LogIndex,
        hint: LogIndex,
        now: ClockMillis,
    ) {
        if let Some(progress) = self.progress_after_contact(disk, now) {
            progress.reject(previous, hint, now);
        }
    }

    /// Records contact with a member; returns its progress on a leader.
    pub(super) fn progress_after_contact(
        &mut self,
        disk: DiskId,
        now: ClockMillis,
    ) -> Option<&mut PeerProgress> {
        let CoreRole::Leader(leader) = &mut self.role else {
            return None;
        };
        let progress = leader.progress.get_mut(&disk)?;
        progress.last_contact_at = now;
        Some(progress)
    }

    /// Commits what is synced on a majority of the voters.
    pub(super) fn advance_commit(&mut self, now: ClockMillis) {
        let CoreRole::Leader(leader) = &self.role else {
            return;
        };
        let majority_index = self.majority_match_index(leader);
        // Raft commits earlier terms' entries only with one of the leader's term.
        if majority_index > self.commit && self.log.term_at(majority_index) == Some(leader.term) {
            let was_pending = self.log.members_index() > self.commit;
            self.commit_to(majority_index);
            self.answer_committed();
            if was_pending && self.log.members_index() <= self.commit {
                // Until they know of the commit, the others ask the former members as well.
                self.send_heartbeats(now);
                self.forget_removed_members(now);
            }
        }
    }

    fn forget_removed_members(&mut self, now: ClockMillis) {
        let tracked = self.tracked_members();
        let (own, last_index) = (self.hard_state.disk, self.log.last_index());
        if let CoreRole::Leader(leader) = &mut self.role {
            leader.update_members(&tracked, own, last_index, now);
        }
    }

    fn majority_match_index(&self, leader: &LeaderState) -> LogIndex {
        let own = self.hard_state.disk;
        self.quorum_value(|disk| {
            if disk == own {
                return self.disk.durable_index();
            }
            leader
                .progress
                .get(&disk)
                .map_or(LogIndex::ZERO, |progress| progress.match_index)
        })
    }

    /// Raises the commit index to `commit`, at most the log's end, and applies the
    /// entries up to it.
    pub(super) fn commit_to(&mut self, commit: LogIndex) {
        self.commit = self.commit.max(commit.min(self.log.last_index()));
        while self.applied < self.commit {
            let index = self.applied.next();
            let Some(entry) = self.log.entry_at(index) else {
                return;
            };
            if let EntryBody::Change(payload) = &entry.body {
                let payload = payload.clone();
                self.actions.push(ReplicaAction::Apply { index, payload });
            }
            self.applied = index;
        }
        self.answer_applied_reads();
    }

    /// Handles an append message from the leader; `previous` is the entry before.
    pub(super) fn handle_append(
        &mut self,
        from: MemberId,
        previous: (LogIndex, TermNumber),
        entries: Vec<LogEntry>,
        commit: LogIndex,
    ) {
        let (previous_index, previous_term) = previous;
        if previous_index < self.log.base_index() {
            // Compacted entries are committed, so they equal the leader's.
            let match_index = self.commit;
            self.send_after_sync(from, PeerBody::AppendAccepted { match_index });
            return;
        }
        if self.log.term_at(previous_index) != Some(previous_term) {
            let hint = self.conflict_hint(previous_index);
            let body = PeerBody::AppendRejected {
                previous_index,
                hint,
            };
            self.send(from, body);
            return;
        }
        let mut match_index = previous_index;
        for entry in entries {
            if entry.index != match_index.next() {
                return;
            }
            match_index = entry.index;
            if !self.accept_entry(entry) {
                return;
            }
        }
        self.commit_to(commit.min(match_index));
        self.send_after_sync(from, PeerBody::AppendAccepted { match_index });
    }

    /// Adds an entry to the log; returns whether the log contains it now.
    ///
    /// A committed entry is never replaced. A leader that tries to has lost entries
    /// that it had acknowledged, for example by a restored copy of its data folder.
    fn accept_entry(&mut self, entry: LogEntry) -> bool {
        if self.log.term_at(entry.index) == Some(entry.term) {
            return true;
        }
        if entry.index <= self.commit {
            let index = entry.index;
            self.report(ReplicaReport::CommittedConflict { index });
            return false;
        }
        self.log.truncate(entry.index);
        self.log.append(entry.clone());
        self.disk.save_entry(entry);
        true
    }

    /// Returns the last index at which the log may equal the leader's.
    fn conflict_hint(&self, previous: LogIndex) -> LogIndex {
        let last_index = self.log.last_index();
        if previous > last_index {
            return last_index;
        }
        let term = self.log.term_at(previous);
        let mut hint = previous.previous();
        while hint > self.commit && self.log.term_at(hint) == term {
            hint = hint.previous();
        }
        hint.max(self.commit)
    }
}

/// Returns the next message for a member, or `None` if its window is full or it
/// lacks nothing.
fn next_message(
    log: &ReplicaLog,
    progress: &mut PeerProgress,
    commit: LogIndex,
    now: ClockMillis,
) -> Option<PeerBody> {
    let (window, probing) = match &progress.phase {
        ProgressPhase::SendingSnapshot { .. } => return progress.next_chunk(now),
        ProgressPhase::Probing => (1, true),
        ProgressPhase::Pipelining => (MAX_APPENDS_IN_FLIGHT, false),
    };
    if progress.messages_in_flight >= window {
        return None;
    }
    let previous_index = progress.next_index.previous();
    let known = (previous_index >= log.base_index())
        .then(|| log.term_at(previous_index))
        .flatten();
    let Some(previous_term) = known else {
        progress.send_snapshot(log.snapshot()?.clone(), now);
        return progress.next_chunk(now);
    };
    let entries = log.entries_from(progress.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES);
    if entries.is_empty() && !probing {
        return None;
    }
    if progress.messages_in_flight == 0 {
        progress.last_activity_at = now;
    }
    progress.messages_in_flight += 1;
    if let (false, Some(last)) = (probing, entries.last()) {
        progress.next_index = last.index.next();
    }
    Some(PeerBody::AppendEntries {
        previous_index,
        previous_term,
        commit,
        entries,
    })
}
