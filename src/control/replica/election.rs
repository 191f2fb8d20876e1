//! Elections: trial votes first, so that a replica that was cut off does not
//! depose a leader that a majority hears.

use super::{
    DiskId, EntryBody, LogIndex, PeerBody, ReplicaCore, ReplicaReport, ReplicaSeat, TermNumber,
    candidate_state::{CandidateState, CoreRole},
    leader_state::LeaderState,
    limits::{ELECTION_MAX_MILLIS, ELECTION_MIN_MILLIS},
};
use crate::clock::ClockMillis;

impl ReplicaCore {
    /// Asks whether an election could be won, without a new term.
    pub(super) fn start_trial(&mut self, now: ClockMillis) {
        self.leader = None;
        if !self.log.members().is_voter(self.hard_state.disk) {
            self.reset_election(now);
            return;
        }
        self.reset_retry(now);
        self.role = CoreRole::Candidate(CandidateState::new(self.hard_state.disk, true));
        self.ask_votes(true, false, self.hard_state.term.next());
        self.count_votes(now);
    }

    /// Asks for votes in a new term.
    pub(super) fn start_election(&mut self, urged: bool, now: ClockMillis) {
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.voted_for = Some(self.hard_state.disk);
        self.disk.save_hard_state(self.hard_state);
        self.role = CoreRole::Candidate(CandidateState::new(self.hard_state.disk, false));
        self.reset_retry(now);
        self.ask_votes(false, urged, self.hard_state.term);
        self.count_votes(now);
    }

    fn ask_votes(&mut self, trial: bool, urged: bool, term: TermNumber) {
        let voters: Vec<ReplicaSeat> = self.log.members().voters().collect();
        for seat in voters {
            if seat.disk == self.hard_state.disk {
                continue;
            }
            let body = PeerBody::VoteAsked {
                trial,
                urged,
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
            };
            self.send_synced_in(term, seat, body);
        }
    }

    fn count_votes(&mut self, now: ClockMillis) {
        let CoreRole::Candidate(candidate) = &self.role else {
            return;
        };
        let votes = &candidate.votes;
        if !self
            .log
            .members()
            .has_majority(|disk| votes.contains(&disk))
        {
            return;
        }
        if candidate.trial {
            self.start_election(false, now);
        } else {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: ClockMillis) {
        let term = self.hard_state.term;
        let last_index = self.log.last_index();
        let mut leader = LeaderState::new(term, last_index, now);
        leader.sync_members(self.log.members(), self.hard_state.disk, last_index, now);
        self.role = CoreRole::Leader(Box::new(leader));
        self.leader = Some(self.seat());
        self.report(ReplicaReport::LeaderElected { term });
        self.append_own(EntryBody::Empty);
        self.send_round(now);
    }

    /// Answers a request for a vote.
    pub(super) fn answer_vote(
        &mut self,
        from: ReplicaSeat,
        trial: bool,
        term: TermNumber,
        last: (TermNumber, LogIndex),
        now: ClockMillis,
    ) {
        let current = last >= (self.log.last_term(), self.log.last_index());
        if trial {
            let granted = current && term > self.hard_state.term;
            self.send_synced_in(term, from, PeerBody::VoteGiven { trial, granted });
            return;
        }
        let free = match self.hard_state.voted_for {
            None => true,
            Some(disk) => disk == from.disk,
        };
        let granted = current && free;
        if granted {
            self.hard_state.voted_for = Some(from.disk);
            self.disk.save_hard_state(self.hard_state);
            self.reset_election(now);
        }
        self.send_synced_in(term, from, PeerBody::VoteGiven { trial, granted });
    }

    /// Returns whether a leader was heard so lately that no vote is given.
    pub(super) fn hears_leader(&self, now: ClockMillis) -> bool {
        match self.role {
            CoreRole::Leader(_) => true,
            CoreRole::Candidate(_) => false,
            CoreRole::Follower => {
                self.leader.is_some() && now.since(self.leader_heard_at) < ELECTION_MIN_MILLIS
            }
        }
    }

    /// Counts a vote for this candidate.
    pub(super) fn take_vote(
        &mut self,
        from: DiskId,
        trial: bool,
        term: TermNumber,
        now: ClockMillis,
    ) {
        let own_term = self.hard_state.term;
        let CoreRole::Candidate(candidate) = &mut self.role else {
            return;
        };
        let asked = if trial { own_term.next() } else { own_term };
        if candidate.trial != trial || term != asked {
            return;
        }
        candidate.votes.insert(from);
        self.count_votes(now);
    }

    /// Steps down when a majority has not been heard for a whole election.
    pub(super) fn check_quorum(&mut self, now: ClockMillis) {
        let CoreRole::Leader(leader) = &self.role else {
            return;
        };
        let own = self.hard_state.disk;
        let heard = |disk: DiskId| {
            disk == own
                || leader
                    .progress
                    .get(&disk)
                    .is_some_and(|progress| now.since(progress.heard_at) < ELECTION_MAX_MILLIS)
        };
        if self.log.members().has_majority(heard) {
            return;
        }
        if let Some(term) = self.resign() {
            self.report(ReplicaReport::QuorumLost { term });
        }
        self.reset_election(now);
    }

    /// Stops leading or running for votes; returns the term that was led.
    ///
    /// Every proposal that waits is answered as unknown, every read is refused.
    pub(super) fn resign(&mut self) -> Option<TermNumber> {
        let role = std::mem::replace(&mut self.role, CoreRole::Follower);
        let CoreRole::Leader(leader) = role else {
            return None;
        };
        self.leader = None;
        let term = leader.term;
        self.abandon(*leader);
        Some(term)
    }
}
