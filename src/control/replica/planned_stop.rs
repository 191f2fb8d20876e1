//! Planned stops: a stopping replica announces it with each of its messages, the leader
//! takes its vote away, and a leader transfers its leadership first.

use super::{
    DiskId, MemberId, MessageTail, PeerBody, ReplicaCore, candidate_state::CoreRole,
    limits::ELECTION_MIN_MILLIS,
};
use crate::clock::ClockMillis;

impl ReplicaCore {
    /// Marks all further messages of this replica, and sends one to the leader at once.
    pub(super) fn announce_stop(&mut self) {
        if self.is_stopping {
            return;
        }
        self.is_stopping = true;
        if let Some(leader) = self.leader.filter(|leader| *leader != self.member_id()) {
            // No heartbeat round is below the first one, so this confirms no read.
            self.send(leader, PeerBody::HeartbeatResponse { round: 0 });
        }
    }

    /// Records on a leader what a member announces of itself.
    pub(super) fn note_tail(&mut self, disk: DiskId, tail: MessageTail) {
        if let CoreRole::Leader(leader) = &mut self.role
            && let Some(progress) = leader.progress.get_mut(&disk)
        {
            progress.is_stopping = tail.is_stopping;
            progress.uses_joint_quorums = Some(tail.uses_joint_quorums);
        }
    }

    /// Has a voter with the whole log start an election at once.
    ///
    /// Does nothing if there is no such voter that stays; the shell asks again.
    pub(super) fn transfer_leadership(&mut self, now: ClockMillis) {
        let CoreRole::Leader(leader) = &self.role else {
            return;
        };
        let last_index = self.log.last_index();
        let is_ready = |member_id: &MemberId| {
            leader
                .progress
                .get(&member_id.disk)
                .is_some_and(|progress| {
                    progress.match_index == last_index
                        && !progress.is_stopping
                        && now.since(progress.last_contact_at) < ELECTION_MIN_MILLIS
                })
        };
        let successor = self.log.members().voters().find(is_ready);
        if let Some(successor) = successor {
            self.send(successor, PeerBody::TimeoutNow);
        }
    }

    /// Starts an election at the request of the current leader, unless this replica stops.
    pub(super) fn handle_timeout_now(&mut self, from: MemberId, now: ClockMillis) {
        let is_voter = self.log.members().is_voter(self.hard_state.disk);
        if self.leader == Some(from) && is_voter && !self.is_stopping {
            self.start_election(true, now);
        }
    }
}
