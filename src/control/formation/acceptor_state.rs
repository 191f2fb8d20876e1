use serde::{Deserialize, Serialize};

use super::{ballot_number::BallotNumber, ballot_quorum::SeedView, group_proposal::GroupProposal};
use crate::control::replica::ReplicaId;

/// What one seed remembers, as it tells another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SeedMemo {
    pub(crate) view: SeedView,
    pub(crate) promised: Option<BallotNumber>,
    pub(crate) accepted: Option<(BallotNumber, GroupProposal)>,
}

/// What a seed must not forget while the group forms; on a VM with a disk it is synced
/// before the seed answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AcceptorState {
    /// The seeds at the first start, sorted.
    pub(crate) seeds: Vec<ReplicaId>,
    pub(crate) view: SeedView,
    /// Lower ballots are refused.
    pub(crate) promised: Option<BallotNumber>,
    /// The accepted proposal with the highest ballot.
    pub(crate) accepted: Option<(BallotNumber, GroupProposal)>,
}

impl AcceptorState {
    /// Creates the state of a seed that has promised nothing.
    pub(crate) fn new(seeds: Vec<ReplicaId>, incarnation: u64) -> Self {
        Self {
            seeds,
            view: SeedView {
                own: incarnation,
                ..SeedView::default()
            },
            promised: None,
            accepted: None,
        }
    }

    /// Adds what the seed `from` remembers, which answered this one's request for
    /// recovery.
    pub(crate) fn merge(&mut self, from: ReplicaId, remembered: SeedMemo) {
        self.promised = self.promised.max(remembered.promised);
        let ballot = |accepted: &Option<(BallotNumber, GroupProposal)>| {
            accepted.as_ref().map(|(ballot, _)| *ballot)
        };
        if ballot(&remembered.accepted) > ballot(&self.accepted) {
            self.accepted = remembered.accepted;
        }
        self.view.others.insert(from, remembered.view.own);
    }
}
