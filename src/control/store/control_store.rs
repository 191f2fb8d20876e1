use std::net::SocketAddrV4;

use super::LeadView;
#[cfg(test)]
use super::MemoryStore;
use crate::{
    control::{
        api::{CallRefusal, ReplicaStatus},
        replica_shell::ReplicaHandle,
        state::{ControlCommand, ControlOutcome},
    },
    key::FeedRevision,
};

/// Orders commands and confirms reads; each form of control has its own.
#[derive(Debug, Clone)]
pub(crate) enum ControlStore {
    /// A single replica without a log.
    #[cfg(test)]
    Memory(MemoryStore),
    /// A replica of the replicated log.
    Replicated(ReplicaHandle),
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
            #[cfg(test)]
            Self::Memory(store) => std::future::ready(store.propose(&bytes)).await?,
            Self::Replicated(handle) => handle.propose(bytes).await?,
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
            #[cfg(test)]
            Self::Memory(store) => std::future::ready(store.confirm_read()).await,
            Self::Replicated(handle) => handle.confirm_read().await,
        }
    }

    /// Returns what this replica knows of the leader.
    pub(crate) fn lead(&self) -> LeadView {
        match self {
            #[cfg(test)]
            Self::Memory(_) => LeadView::Leading { term: 1 },
            Self::Replicated(handle) => handle.lead(),
        }
    }

    /// Returns the replicas of the group; `address` is this one's.
    pub(crate) fn replicas(&self, address: SocketAddrV4) -> Vec<ReplicaStatus> {
        match self {
            #[cfg(test)]
            Self::Memory(store) => vec![ReplicaStatus {
                address,
                role: crate::control::api::ReplicaRole::Leader,
                held: store.confirm_read().unwrap_or_default().count(),
            }],
            Self::Replicated(handle) => handle.replicas(address),
        }
    }
}
