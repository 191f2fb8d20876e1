use std::collections::BTreeSet;

use super::{DiskId, leader_state::LeaderState};

/// What a replica does in the group at the moment.
#[derive(Debug)]
pub(crate) enum CoreRole {
    /// Receives the log, if there is a leader.
    Follower,
    /// Asks for votes.
    Candidate(CandidateState),
    /// Orders the changes.
    Leader(Box<LeaderState>),
}

/// The votes that a candidate has got.
#[derive(Debug)]
pub(crate) struct CandidateState {
    /// Whether the term is only tried.
    pub(crate) pre_vote: bool,
    /// Who has given its vote, the candidate included.
    pub(crate) votes: BTreeSet<DiskId>,
}

impl CandidateState {
    /// Creates a candidate that has its own vote.
    pub(crate) fn new(own: DiskId, pre_vote: bool) -> Self {
        Self {
            pre_vote,
            votes: BTreeSet::from([own]),
        }
    }
}
