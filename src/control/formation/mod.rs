//! Forming the control group at the first start of a deployment.
//!
//! The seeds, with or without a disk, agree on the initial members: each of them
//! is an acceptor and a proposer of single-decree Paxos. State machines without
//! I/O; see `docs/design/group-formation.md`.

mod acceptor_state;
mod ballot_number;
mod ballot_quorum;
mod formation_limits;
mod formation_message;
mod formation_seed;
mod founder_registry;
mod group_proposal;
mod seed_acceptor;
mod seed_proposer;

pub(crate) use acceptor_state::AcceptorState;
pub(crate) use formation_message::{FormationBody, FormationMessage, StorageKind};
pub(crate) use formation_seed::{FormationAction, FormationSeed, FormationSettings, SeedMemory};
pub(crate) use group_proposal::GroupProposal;

#[cfg(test)]
mod tests;
