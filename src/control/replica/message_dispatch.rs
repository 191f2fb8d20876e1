//! Dispatch of peer messages: checks receiver, group and term, then handles the
//! body.

use super::{
    MemberId, PeerBody, PeerMessage, ReplicaCore, ReplicaReport, candidate_state::CoreRole,
    limits::MAX_TERM_STEP,
};
use crate::clock::ClockMillis;

impl ReplicaCore {
    /// Handles a message from a peer.
    pub(super) fn receive(&mut self, message: PeerMessage, now: ClockMillis) {
        let misaddressed = message.to.is_some_and(|disk| disk != self.hard_state.disk);
        if message.from.replica == self.peers.own {
            return;
        }
        if misaddressed {
            self.report_lost_disk(&message);
            return;
        }
        // A term that can't be true would end all elections: none could be higher.
        if message.term.number() > self.hard_state.term.number().saturating_add(MAX_TERM_STEP) {
            return;
        }
        match message.body {
            PeerBody::JoinRequest => {
                self.note_lost_disk(&message, now);
                self.handle_join_request(&message);
            }
            PeerBody::EmptyDiskResponse => self.handle_empty_disk(&message, now),
            _ if self.check_group(&message) => self.receive_in_group(message, now),
            _ => {}
        }
    }

    /// Returns whether the sender is in this replica's group. A replica without a
    /// group joins the group of a message that is addressed to its data folder.
    fn check_group(&mut self, message: &PeerMessage) -> bool {
        match (self.hard_state.group, message.group) {
            (Some(own_group), Some(sender_group)) if own_group == sender_group => true,
            (Some(_), Some(_)) => {
                let replica = message.from.replica;
                if self.foreign_peers.insert(replica) {
                    self.report(ReplicaReport::ForeignGroup { replica });
                }
                false
            }
            (None, Some(sender_group)) if message.to.is_some() => {
                self.hard_state.group = Some(sender_group);
                self.disk.save_hard_state(self.hard_state);
                true
            }
            _ => false,
        }
    }

    fn receive_in_group(&mut self, message: PeerMessage, now: ClockMillis) {
        if !self.check_term(&message, now) {
            return;
        }
        let PeerMessage {
            from,
            term,
            body,
            tail,
            ..
        } = message;
        self.note_tail(from.disk, tail);
        match body {
            PeerBody::JoinRequest | PeerBody::EmptyDiskResponse | PeerBody::StaleTerm => {}
            PeerBody::VoteRequest {
                pre_vote,
                leadership_transfer: _,
                last_index,
                last_term,
            } => self.handle_vote_request(from, pre_vote, term, (last_term, last_index), now),
            PeerBody::VoteResponse { pre_vote, granted } => {
                if granted {
                    self.handle_vote_response(from.disk, pre_vote, term, now);
                }
            }
            PeerBody::Heartbeat { commit, round } => {
                if self.accept_leader(from, now) {
                    self.note_joint_members(tail.joint_members, commit);
                    self.commit_to(commit);
                    self.send(from, PeerBody::HeartbeatResponse { round });
                }
            }
            PeerBody::HeartbeatResponse { round } => {
                self.handle_heartbeat_response(from.disk, round, now);
            }
            PeerBody::AppendEntries {
                previous_index,
                previous_term,
                commit,
                entries,
            } => {
                if self.accept_leader(from, now) {
                    self.handle_append(from, (previous_index, previous_term), entries, commit);
                }
            }
            PeerBody::TimeoutNow => self.handle_timeout_now(from, now),
            PeerBody::AppendAccepted { match_index } => {
                self.handle_append_accepted(from.disk, match_index, now);
            }
            PeerBody::AppendRejected {
                previous_index,
                hint,
            } => self.handle_append_rejected(from.disk, previous_index, hint, now),
            PeerBody::SnapshotChunk { .. } => {
                if self.accept_leader(from, now) {
                    self.handle_snapshot_chunk(from, body);
                }
            }
            PeerBody::SnapshotChunkResponse { index, received } => {
                self.handle_chunk_response(from.disk, index, received, now);
            }
            PeerBody::ReadIndexRequest { sequence } => {
                self.handle_read_index_request(from, sequence, now);
            }
            PeerBody::ReadIndexResponse { sequence, index } => {
                self.handle_read_index_response(sequence, index, now);
            }
        }
    }

    /// Adopts a newer term; returns whether the message is to be handled.
    fn check_term(&mut self, message: &PeerMessage, now: ClockMillis) -> bool {
        let own_term = self.hard_state.term;
        match &message.body {
            PeerBody::VoteRequest {
                pre_vote,
                leadership_transfer,
                ..
            } => {
                if self.has_recent_leader(now) && !leadership_transfer {
                    return false;
                }
                let is_stale = message.term < own_term || (*pre_vote && message.term == own_term);
                if is_stale {
                    self.send(message.from, PeerBody::StaleTerm);
                    return false;
                }
                if !pre_vote && message.term > own_term {
                    self.become_follower(message.term);
                }
                true
            }
            // A pre-vote response has the proposed term, which is not adopted.
            PeerBody::VoteResponse { pre_vote: true, .. } => true,
            _ if message.term > own_term => {
                self.become_follower(message.term);
                true
            }
            PeerBody::Heartbeat { .. }
            | PeerBody::AppendEntries { .. }
            | PeerBody::SnapshotChunk { .. }
                if message.term < own_term =>
            {
                self.send(message.from, PeerBody::StaleTerm);
                false
            }
            _ => message.term == own_term,
        }
    }

    /// Accepts the sender as leader of the current term, unless this replica leads.
    fn accept_leader(&mut self, from: MemberId, now: ClockMillis) -> bool {
        if matches!(self.role, CoreRole::Leader(_)) {
            return false;
        }
        self.role = CoreRole::Follower;
        self.leader = Some(from);
        self.leader_contact_at = now;
        self.fruitless_elections = 0;
        self.reset_election_timer(now);
        true
    }
}
