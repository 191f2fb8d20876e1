use serde::{Deserialize, Serialize};

use crate::control::replica::ReplicaId;

/// The number of a proposal; no two proposals share one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct BallotNumber {
    pub(crate) round: u64,
    pub(crate) proposer: ReplicaId,
    /// A random number of the proposer's process, which may forget its rounds.
    pub(crate) run: u64,
}
