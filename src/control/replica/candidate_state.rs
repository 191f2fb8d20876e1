use std::collections::BTreeSet;

use super::{DiskId, leader_state::LeaderState};

/// The Raft role of a replica.
#[derive(Debug)]
pub(crate) enum CoreRole {
    /// Receives the log from the leader, if there is one.
    Follower,
    /// Requests votes or pre-votes.
    Candidate(CandidateState),
    /// Appends proposals and replicates the log.
    Leader(Box<LeaderState>),
}

/// The votes that a candidate has received.
#[derive(Debug)]
pub(crate) struct CandidateState {
    /// Whether these are pre-votes.
    pub(crate) pre_vote: bool,
    /// The data folders that granted their vote, the candidate's included.
    pub(crate) votes: BTreeSet<DiskId>,
}

impl CandidateState {
    /// Creates a candidate with its own vote.
    pub(crate) fn new(own: DiskId, pre_vote: bool) -> Self {
        Self {
            pre_vote,
            votes: BTreeSet::from([own]),
        }
    }
}
