//! The way of a peer's message into the core: group, term, then its content.

use super::{
    PeerBody, PeerMessage, ReplicaCore, ReplicaReport, ReplicaSeat, candidate_state::CoreRole,
};
use crate::clock::ClockMillis;

impl ReplicaCore {
    /// Takes in a message of a peer.
    pub(super) fn receive(&mut self, message: PeerMessage, now: ClockMillis) {
        let strayed = message.to.is_some_and(|disk| disk != self.hard_state.disk);
        if strayed || message.from.replica == self.peers.own {
            return;
        }
        match message.body {
            PeerBody::JoinAsked => self.hear_join(&message),
            PeerBody::JoinEmpty => self.hear_empty(&message, now),
            _ if self.shares_group(&message) => self.receive_in_group(message, now),
            _ => {}
        }
    }

    fn shares_group(&mut self, message: &PeerMessage) -> bool {
        match (self.hard_state.group, message.group) {
            (Some(own), Some(theirs)) if own == theirs => true,
            (Some(_), Some(_)) => {
                let replica = message.from.replica;
                if self.foreign.insert(replica) {
                    self.report(ReplicaReport::ForeignGroup { replica });
                }
                false
            }
            (None, Some(theirs)) if message.to.is_some() => {
                self.hard_state.group = Some(theirs);
                self.disk.save_hard_state(self.hard_state);
                true
            }
            _ => false,
        }
    }

    fn receive_in_group(&mut self, message: PeerMessage, now: ClockMillis) {
        if !self.follow_term(&message, now) {
            return;
        }
        let PeerMessage {
            from, term, body, ..
        } = message;
        match body {
            PeerBody::JoinAsked | PeerBody::JoinEmpty | PeerBody::TermPassed => {}
            PeerBody::VoteAsked {
                trial,
                urged: _,
                last_index,
                last_term,
            } => self.answer_vote(from, trial, term, (last_term, last_index), now),
            PeerBody::VoteGiven { trial, granted } => {
                if granted {
                    self.take_vote(from.disk, trial, term, now);
                }
            }
            PeerBody::Heartbeat { commit, round } => {
                if self.follow_leader(from, now) {
                    self.commit_to(commit);
                    self.send(from, PeerBody::HeartbeatHeard { round });
                }
            }
            PeerBody::HeartbeatHeard { round } => self.hear_round(from.disk, round, now),
            PeerBody::Append {
                previous_index,
                previous_term,
                commit,
                entries,
            } => {
                if self.follow_leader(from, now) {
                    self.take_entries(from, (previous_index, previous_term), entries, commit);
                }
            }
            PeerBody::LeadUrged => self.lead_urged(from, now),
            PeerBody::AppendHeld { matched } => self.note_held(from.disk, matched, now),
            PeerBody::AppendRefused {
                previous_index,
                hint,
            } => self.note_refused(from.disk, previous_index, hint, now),
            PeerBody::SnapshotChunk { .. } => {
                if self.follow_leader(from, now) {
                    self.take_chunk(from, body);
                }
            }
            PeerBody::SnapshotHeld { index, received } => {
                self.note_chunk(from.disk, index, received, now);
            }
            PeerBody::ReadAsked { sequence } => self.ask_read_for(from, sequence, now),
            PeerBody::ReadAnswered { sequence, index } => {
                self.finish_forward(sequence, index, now);
            }
        }
    }

    /// Brings the own term up to the message's; returns whether it is current.
    fn follow_term(&mut self, message: &PeerMessage, now: ClockMillis) -> bool {
        let own = self.hard_state.term;
        match &message.body {
            PeerBody::VoteAsked { trial, urged, .. } => {
                if self.hears_leader(now) && !urged {
                    return false;
                }
                let passed = message.term < own || (*trial && message.term == own);
                if passed {
                    self.send(message.from, PeerBody::TermPassed);
                    return false;
                }
                if !trial && message.term > own {
                    self.become_follower(message.term);
                }
                true
            }
            // The term of a trial is no one's yet.
            PeerBody::VoteGiven { trial: true, .. } => true,
            _ if message.term > own => {
                self.become_follower(message.term);
                true
            }
            PeerBody::Heartbeat { .. }
            | PeerBody::Append { .. }
            | PeerBody::SnapshotChunk { .. }
                if message.term < own =>
            {
                self.send(message.from, PeerBody::TermPassed);
                false
            }
            _ => message.term == own,
        }
    }

    /// Takes the sender as leader of the own term.
    fn follow_leader(&mut self, from: ReplicaSeat, now: ClockMillis) -> bool {
        if matches!(self.role, CoreRole::Leader(_)) {
            return false;
        }
        self.role = CoreRole::Follower;
        self.leader = Some(from);
        self.leader_heard_at = now;
        self.reset_election(now);
        true
    }
}
