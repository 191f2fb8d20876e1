//! Read index: a read is confirmed when a majority answers a heartbeat that was
//! sent after the read was requested. A newer leader can't have committed anything
//! before the request then.

use super::{
    DiskId, LogIndex, MemberId, PeerBody, ReadKey, ReadOutcome, ReplicaAction, ReplicaCore,
    candidate_state::CoreRole,
    leader_state::{PendingRead, ReadSource},
    limits::MAX_PENDING_READS,
};
use crate::clock::ClockMillis;

impl ReplicaCore {
    /// Handles a client's read.
    pub(super) fn handle_read(&mut self, key: ReadKey, now: ClockMillis) {
        match (&self.role, self.leader) {
            (CoreRole::Leader(_), _) => self.queue_read(ReadSource::Local(key), now),
            (_, Some(member_id)) => self.forward_read(key, member_id, now),
            (_, None) => self.answer_read(key, ReadOutcome::Refused),
        }
    }

    /// Handles a follower's request for a read index.
    pub(super) fn handle_read_index_request(
        &mut self,
        member_id: MemberId,
        sequence: u64,
        now: ClockMillis,
    ) {
        let source = ReadSource::Follower {
            member_id,
            sequence,
        };
        if matches!(self.role, CoreRole::Leader(_)) {
            self.queue_read(source, now);
        } else {
            self.refuse_read(source, ReadOutcome::Refused);
        }
    }

    fn queue_read(&mut self, source: ReadSource, now: ClockMillis) {
        let index = self.commit;
        let CoreRole::Leader(leader) = &mut self.role else {
            return;
        };
        if leader.reads.len() >= MAX_PENDING_READS {
            self.refuse_read(source, ReadOutcome::Overloaded);
            return;
        }
        if index < leader.noop_index {
            // The commit index of earlier leaders is not known yet.
            self.refuse_read(source, ReadOutcome::Refused);
            return;
        }
        let was_idle = leader.reads.is_empty();
        leader.reads.push_back(PendingRead {
            round: leader.heartbeat_round + 1,
            index,
            source,
        });
        if was_idle {
            self.send_heartbeats(now);
        }
    }

    /// Records that a member has answered a heartbeat.
    pub(super) fn handle_heartbeat_response(&mut self, disk: DiskId, round: u64, now: ClockMillis) {
        if let Some(progress) = self.progress_after_contact(disk, now) {
            progress.acked_round = progress.acked_round.max(round);
        }
        if self.confirm_reads() {
            self.send_heartbeats(now);
        }
    }

    /// Answers the reads whose heartbeat round a majority has answered.
    ///
    /// Returns whether reads wait for a round that has not been sent.
    pub(super) fn confirm_reads(&mut self) -> bool {
        let own = self.hard_state.disk;
        let CoreRole::Leader(leader) = &self.role else {
            return false;
        };
        let confirmed = self.quorum_value(|disk| {
            if disk == own {
                return leader.heartbeat_round;
            }
            leader
                .progress
                .get(&disk)
                .map_or(0, |progress| progress.acked_round)
        });
        let CoreRole::Leader(leader) = &mut self.role else {
            return false;
        };
        let mut answered = Vec::new();
        while let Some(read) = leader.reads.front().copied()
            && read.round <= confirmed
        {
            leader.reads.pop_front();
            answered.push(read);
        }
        let has_unsent_round = leader
            .reads
            .front()
            .is_some_and(|read| read.round > leader.heartbeat_round);
        for read in answered {
            self.confirm_read(read.source, read.index);
        }
        has_unsent_round
    }

    fn confirm_read(&mut self, source: ReadSource, index: LogIndex) {
        match source {
            ReadSource::Local(key) => self.answer_read(key, ReadOutcome::Confirmed { index }),
            ReadSource::Follower {
                member_id,
                sequence,
            } => {
                let index = Some(index);
                self.send(member_id, PeerBody::ReadIndexResponse { sequence, index });
            }
        }
    }

    fn refuse_read(&mut self, source: ReadSource, outcome: ReadOutcome) {
        match source {
            ReadSource::Local(key) => self.answer_read(key, outcome),
            ReadSource::Follower {
                member_id,
                sequence,
            } => {
                let index = None;
                self.send(member_id, PeerBody::ReadIndexResponse { sequence, index });
            }
        }
    }

    pub(super) fn answer_read(&mut self, key: ReadKey, outcome: ReadOutcome) {
        self.actions
            .push(ReplicaAction::AnswerRead { key, outcome });
    }
}
