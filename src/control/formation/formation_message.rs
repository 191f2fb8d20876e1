use serde::{Deserialize, Serialize};

use super::{
    acceptor_state::SeedMemo, ballot_number::BallotNumber, ballot_quorum::SeedView,
    group_proposal::GroupProposal,
};
use crate::control::replica::{MemberId, ReplicaId};

/// A message about the formation of a group. Its encoding numbers the variants of
/// the body, so new ones go to the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FormationMessage {
    /// The sender's address.
    pub(crate) from: ReplicaId,
    /// Identifies the seeds that the sender knew at its first start.
    pub(crate) electorate: u64,
    pub(crate) body: FormationBody,
}

/// Where a replica keeps its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StorageKind {
    /// On a disk.
    Disk,
    /// In memory only; it founds a group if no VM has a disk.
    Memory,
}

/// The content of a message about the formation of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FormationBody {
    /// A replica without a group offers itself as a founder.
    Register {
        member: MemberId,
        storage: StorageKind,
    },
    /// The sender has run since the first start of the deployment and knows no group.
    NoGroupKnown,
    /// Paxos phase 1: asks for a promise to ignore lower ballots.
    Prepare { ballot: BallotNumber },
    /// Answers `Prepare`.
    Promise {
        ballot: BallotNumber,
        view: SeedView,
        accepted: Option<(BallotNumber, GroupProposal)>,
    },
    /// Paxos phase 2: asks to accept a proposal.
    Accept {
        ballot: BallotNumber,
        proposal: GroupProposal,
    },
    /// Answers `Accept`.
    Accepted {
        ballot: BallotNumber,
        view: SeedView,
    },
    /// Refuses a ballot because of a promise to a higher one.
    Rejected {
        ballot: BallotNumber,
        promised: BallotNumber,
    },
    /// The seeds have agreed.
    Formed { proposal: GroupProposal },
    /// A seed that has forgotten asks for what the others remember.
    RecoveryRequest { incarnation: u64 },
    /// Answers `RecoveryRequest`.
    RecoveryState {
        /// The incarnation that asked.
        incarnation: u64,
        memo: SeedMemo,
    },
}
