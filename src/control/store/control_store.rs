use std::net::SocketAddrV4;

use super::{LeadView, MemoryStore};
use crate::{
    control::{
        api::{CallRefusal, ReplicaRole, ReplicaStatus},
        state::{ControlCommand, ControlOutcome},
    },
    key::FeedRevision,
};

/// Orders commands and confirms reads; each form of control has its own.
#[derive(Debug, Clone)]
pub(crate) enum ControlStore {
    /// A single replica without a log.
    Memory(MemoryStore),
}

impl ControlStore {
    /// Commits a command and returns what became of it.
    ///
    /// # Errors
    ///
    /// Fails when this replica can't commit, or can't tell whether it did.
    pub(crate) async fn propose(
        &self,
        command: &ControlCommand,
    ) -> Result<ControlOutcome, CallRefusal> {
        // A command that can't be encoded was never sent anywhere.
        let bytes = command.encode().map_err(|_| CallRefusal::NoQuorum)?;
        let outcome = match self {
            Self::Memory(store) => std::future::ready(store.propose(&bytes)).await,
        };
        ControlOutcome::decode(&outcome).map_err(|_| CallRefusal::OutcomeUnknown)
    }

    /// Returns the revision up to which this replica is known to be current.
    ///
    /// The state holds everything that was committed before the call.
    ///
    /// # Errors
    ///
    /// Fails when no majority confirms it.
    pub(crate) async fn confirm_read(&self) -> Result<FeedRevision, CallRefusal> {
        match self {
            Self::Memory(store) => std::future::ready(Ok(store.confirm_read())).await,
        }
    }

    /// Returns what this replica knows of the leader.
    pub(crate) fn lead(&self) -> LeadView {
        match self {
            Self::Memory(_) => LeadView::Leading { term: 1 },
        }
    }

    /// Returns the replicas of the group; `address` is this one's.
    pub(crate) fn replicas(&self, address: SocketAddrV4) -> Vec<ReplicaStatus> {
        match self {
            Self::Memory(store) => vec![ReplicaStatus {
                address,
                role: ReplicaRole::Leader,
                held: store.confirm_read().count(),
            }],
        }
    }
}
