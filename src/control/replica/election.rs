//! Elections with pre-vote, so that a replica that was partitioned away does not
//! depose a leader that a majority hears from, and with check-quorum.

use std::collections::BTreeSet;

use rand::Rng;

use super::{
    DiskId, EntryBody, LogIndex, MemberId, PeerBody, ReplicaCore, ReplicaId, ReplicaReport,
    TermNumber,
    candidate_state::{CandidateState, CoreRole},
    leader_state::LeaderState,
    limits::{
        ELECTION_MIN_MILLIS, LEADER_DOUBT_MILLIS, LEADER_GONE_PAUSE_MILLIS, YIELDING_ROUND_INTERVAL,
    },
};
use crate::clock::{ClockMillis, SpanMillis};

impl ReplicaCore {
    /// Starts a pre-vote: asks for support without starting a new term.
    pub(super) fn start_pre_vote(&mut self, now: ClockMillis) {
        self.leader = None;
        if !self.log.members().is_voter(self.hard_state.disk) {
            self.reset_election_timer(now);
            return;
        }
        self.schedule_election_retry(now);
        let own = self.hard_state.disk;
        let candidate = match std::mem::replace(&mut self.role, CoreRole::Follower) {
            CoreRole::Candidate(candidate) => candidate,
            CoreRole::Follower | CoreRole::Leader(_) => CandidateState::default(),
        };
        self.role = CoreRole::Candidate(candidate.with_pre_votes(own));
        self.request_votes(true, false, self.hard_state.term.next());
        self.count_votes(now);
    }

    /// Starts an election in a new term.
    pub(super) fn start_election(&mut self, leadership_transfer: bool, now: ClockMillis) {
        self.hard_state.term = self.hard_state.term.next();
        self.term_losses = self.usable_losses();
        self.hard_state.voted_for = Some(self.hard_state.disk);
        self.disk.save_hard_state(self.hard_state);
        self.role = CoreRole::Candidate(CandidateState::new(self.hard_state.disk));
        self.fruitless_elections = self.fruitless_elections.saturating_add(1);
        self.schedule_election_retry(now);
        self.request_votes(false, leadership_transfer, self.hard_state.term);
        self.count_votes(now);
    }

    fn request_votes(&mut self, pre_vote: bool, leadership_transfer: bool, term: TermNumber) {
        for member_id in self.quorum_voters() {
            if member_id.disk == self.hard_state.disk {
                continue;
            }
            let body = PeerBody::VoteRequest {
                pre_vote,
                leadership_transfer,
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
            };
            self.send_after_sync_in(term, member_id, body);
        }
    }

    pub(super) fn count_votes(&mut self, now: ClockMillis) {
        let CoreRole::Candidate(candidate) = &self.role else {
            return;
        };
        let is_quorum = |votes: &BTreeSet<DiskId>, lost: &BTreeSet<DiskId>| {
            self.has_quorum(lost, |disk| votes.contains(&disk))
        };
        let has_votes = |votes| is_quorum(votes, &self.term_losses);
        let has_pre_votes = |votes| is_quorum(votes, &self.usable_losses());
        // An election that is won makes the pre-votes for the next one void.
        if candidate.votes.as_ref().is_some_and(has_votes) {
            self.become_leader(now);
        } else if candidate.pre_votes.as_ref().is_some_and(has_pre_votes) {
            self.start_election(false, now);
        }
    }

    fn become_leader(&mut self, now: ClockMillis) {
        let term = self.hard_state.term;
        let last_index = self.log.last_index();
        let mut leader = LeaderState::new(term, last_index, now);
        let tracked = self.tracked_members();
        leader.update_members(&tracked, self.hard_state.disk, last_index, now);
        self.role = CoreRole::Leader(Box::new(leader));
        self.leader = Some(self.member_id());
        self.fruitless_elections = 0;
        self.report(ReplicaReport::LeaderElected { term });
        self.append_entry(EntryBody::Empty);
        self.send_heartbeats(now);
    }

    /// Drops a leader whose process is gone, and asks for pre-votes soon.
    ///
    /// Only a refused connection shows that. A closed one may have been reset on the
    /// way, and a silent leader may be paused or cut off.
    pub(super) fn handle_refused_connection(&mut self, replica: ReplicaId, now: ClockMillis) {
        let is_leader = self.leader.is_some_and(|leader| leader.replica == replica);
        if !is_leader || !matches!(self.role, CoreRole::Follower) {
            return;
        }
        self.leader = None;
        self.report(ReplicaReport::LeaderGone { replica });
        let pause = self.rng.random_range(0..=LEADER_GONE_PAUSE_MILLIS.millis());
        let due_at = now.after(SpanMillis::new(pause));
        self.election_due_at = self.election_due_at.min(due_at);
    }

    /// Answers a vote or pre-vote request; `last` is the candidate's last entry.
    pub(super) fn handle_vote_request(
        &mut self,
        from: MemberId,
        pre_vote: bool,
        term: TermNumber,
        last: (TermNumber, LogIndex),
        now: ClockMillis,
    ) {
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        if pre_vote {
            if self.has_vote_pending_for_other(from.disk) || self.has_precedence(from.disk, last) {
                return;
            }
            let granted = up_to_date && term > self.hard_state.term;
            if granted && matches!(self.role, CoreRole::Follower) {
                // Two candidates at once would split the votes. A candidate goes on,
                // since the other one may be unable to win.
                self.postpone_election(now);
            }
            self.send_after_sync_in(term, from, PeerBody::VoteResponse { pre_vote, granted });
            return;
        }
        let may_vote = match self.hard_state.voted_for {
            None => true,
            Some(disk) => disk == from.disk,
        };
        let granted = up_to_date && may_vote;
        if granted {
            self.hard_state.voted_for = Some(from.disk);
            self.disk.save_hard_state(self.hard_state);
            self.reset_election_timer(now);
        }
        self.send_after_sync_in(term, from, PeerBody::VoteResponse { pre_vote, granted });
    }

    /// Returns whether this replica has voted for another candidate, or for itself, and
    /// the vote is not synced yet.
    ///
    /// The vote may decide its election, so a pre-vote for the next one is left
    /// unanswered. With slow disks the next term would otherwise start while the votes
    /// of this one are being synced, and depose its leader.
    fn has_vote_pending_for_other(&self, candidate: DiskId) -> bool {
        let voted_for_other = self
            .hard_state
            .voted_for
            .is_some_and(|disk| disk != candidate);
        voted_for_other && self.disk.has_unsynced_state()
    }

    /// Returns whether this replica requests pre-votes itself and goes first.
    ///
    /// Candidates that grant each other's pre-votes split the votes, which is likely
    /// where messages take as long as the pauses between attempts.
    fn has_precedence(&self, candidate: DiskId, last: (TermNumber, LogIndex)) -> bool {
        let CoreRole::Candidate(own) = &self.role else {
            return false;
        };
        let requests_pre_votes = own.pre_votes.is_some();
        let yields = own.pre_vote_rounds.is_multiple_of(YIELDING_ROUND_INTERVAL);
        let own_last = (self.log.last_term(), self.log.last_index());
        requests_pre_votes && !yields && (own_last, self.hard_state.disk) > (last, candidate)
    }

    /// Returns whether a leader was heard from within the shortest election timeout,
    /// or is this replica. Votes are then granted only for a leadership transfer.
    pub(super) fn has_recent_leader(&self, now: ClockMillis) -> bool {
        match self.role {
            CoreRole::Leader(_) => true,
            CoreRole::Candidate(_) => false,
            CoreRole::Follower => {
                self.leader.is_some() && now.since(self.leader_contact_at) < ELECTION_MIN_MILLIS
            }
        }
    }

    /// Returns the leader to send callers to: none while it is silent for longer than
    /// `LEADER_DOUBT_MILLIS`.
    pub(super) fn trusted_leader(&self, now: ClockMillis) -> Option<MemberId> {
        match self.role {
            CoreRole::Leader(_) => Some(self.member_id()),
            CoreRole::Candidate(_) => None,
            CoreRole::Follower => self
                .leader
                .filter(|_| now.since(self.leader_contact_at) < LEADER_DOUBT_MILLIS),
        }
    }

    /// Counts a granted vote or pre-vote, unless it is for another election.
    pub(super) fn handle_vote_response(
        &mut self,
        from: DiskId,
        pre_vote: bool,
        term: TermNumber,
        now: ClockMillis,
    ) {
        let own_term = self.hard_state.term;
        let CoreRole::Candidate(candidate) = &mut self.role else {
            return;
        };
        let (votes, requested_term) = if pre_vote {
            (&mut candidate.pre_votes, own_term.next())
        } else {
            (&mut candidate.votes, own_term)
        };
        if let Some(votes) = votes
            && term == requested_term
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    /// Check-quorum: steps down without contact from a majority for the longest
    /// election timeout.
    pub(super) fn check_quorum(&mut self, now: ClockMillis) {
        let CoreRole::Leader(leader) = &self.role else {
            return;
        };
        let is_responsive = |disk| self.is_responsive(leader, disk, now);
        if self.has_quorum(&self.term_losses, is_responsive) {
            return;
        }
        if let Some(term) = self.step_down() {
            self.report(ReplicaReport::QuorumLost { term });
        }
        self.reset_election_timer(now);
    }

    /// Stops leading or being a candidate; returns the term that was led.
    ///
    /// Pending proposals are answered as unknown, pending reads are refused.
    pub(super) fn step_down(&mut self) -> Option<TermNumber> {
        let role = std::mem::replace(&mut self.role, CoreRole::Follower);
        let CoreRole::Leader(leader) = role else {
            return None;
        };
        self.leader = None;
        let term = leader.term;
        self.fail_pending(*leader);
        Some(term)
    }
}
