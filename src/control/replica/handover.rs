//! Handing leadership over before a planned stop, so that nobody waits for an
//! election.

use super::{
    PeerBody, ReplicaCore, ReplicaSeat, candidate_state::CoreRole, limits::ELECTION_MIN_MILLIS,
};
use crate::clock::ClockMillis;

impl ReplicaCore {
    /// Urges a voter that lacks nothing to be elected at once.
    ///
    /// Nothing happens if there is none at the moment; the shell asks again.
    pub(super) fn step_aside(&mut self, now: ClockMillis) {
        let CoreRole::Leader(leader) = &self.role else {
            return;
        };
        let last_index = self.log.last_index();
        let is_ready = |seat: &ReplicaSeat| {
            leader.progress.get(&seat.disk).is_some_and(|progress| {
                progress.matched == last_index && now.since(progress.heard_at) < ELECTION_MIN_MILLIS
            })
        };
        let heir = self.log.members().voters().find(is_ready);
        if let Some(heir) = heir {
            self.send(heir, PeerBody::LeadUrged);
        }
    }

    /// Starts an election since the leader itself asks for it.
    pub(super) fn lead_urged(&mut self, from: ReplicaSeat, now: ClockMillis) {
        let is_voter = self.log.members().is_voter(self.hard_state.disk);
        if self.leader == Some(from) && is_voter {
            self.start_election(true, now);
        }
    }
}
