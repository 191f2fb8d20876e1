use std::collections::BTreeSet;

use super::{DiskId, leader_state::LeaderState};

/// The Raft role of a replica.
#[derive(Debug)]
pub(crate) enum CoreRole {
    /// Receives the log from the leader, if there is one.
    Follower,
    /// Requests votes, pre-votes or both.
    Candidate(CandidateState),
    /// Appends proposals and replicates the log.
    Leader(Box<LeaderState>),
}

/// The votes that a candidate has received, by data folder and with its own.
///
/// Votes of the current term still count while pre-votes for the next one are
/// requested: a vote takes as long as the voter's disk, which may be longer than the
/// pause until the next pre-vote.
#[derive(Debug, Default)]
pub(crate) struct CandidateState {
    /// Votes in the current term, if this replica is a candidate in it.
    pub(crate) votes: Option<BTreeSet<DiskId>>,
    /// Pre-votes for the next term, if they were requested.
    pub(crate) pre_votes: Option<BTreeSet<DiskId>>,
    /// How often pre-votes for the next term were requested.
    pub(crate) pre_vote_rounds: u32,
}

impl CandidateState {
    /// Creates a candidate in the current term with its own vote.
    pub(crate) fn new(own: DiskId) -> Self {
        Self {
            votes: Some(BTreeSet::from([own])),
            pre_votes: None,
            pre_vote_rounds: 0,
        }
    }

    /// Starts to collect pre-votes for the next term.
    pub(crate) fn with_pre_votes(mut self, own: DiskId) -> Self {
        self.pre_votes = Some(BTreeSet::from([own]));
        self.pre_vote_rounds = self.pre_vote_rounds.saturating_add(1);
        self
    }
}
