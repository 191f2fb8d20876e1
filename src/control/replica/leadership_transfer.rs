//! Leadership transfer before a planned stop, so that clients need not wait for
//! an election timeout.

use super::{
    MemberId, PeerBody, ReplicaCore, candidate_state::CoreRole, limits::ELECTION_MIN_MILLIS,
};
use crate::clock::ClockMillis;

impl ReplicaCore {
    /// Has a voter with the whole log start an election at once.
    ///
    /// Does nothing if there is no such voter; the shell asks again.
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
                        && now.since(progress.last_contact_at) < ELECTION_MIN_MILLIS
                })
        };
        let successor = self.log.members().voters().find(is_ready);
        if let Some(successor) = successor {
            self.send(successor, PeerBody::TimeoutNow);
        }
    }

    /// Starts an election at the request of the current leader.
    pub(super) fn handle_timeout_now(&mut self, from: MemberId, now: ClockMillis) {
        let is_voter = self.log.members().is_voter(self.hard_state.disk);
        if self.leader == Some(from) && is_voter {
            self.start_election(true, now);
        }
    }
}
