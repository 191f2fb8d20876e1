use std::net::SocketAddrV4;

#[cfg(test)]
use super::MemoryStore;
use super::{LeaderView, StateHandle};
use crate::{
    control::{
        api::{CallRefusal, ReplicaStatus},
        replica_shell::ReplicaHandle,
        state::{ControlCommand, ControlOutcome},
    },
    key::FeedRevision,
};

/// Commits commands and confirms reads.
#[derive(Debug, Clone)]
pub(crate) enum ControlStore {
    /// A single replica without a log, for tests.
    #[cfg(test)]
    Memory(MemoryStore),
    /// A replica of the control group.
    Replicated {
        /// The replica.
        handle: ReplicaHandle,
        /// Its state.
        state: StateHandle,
    },
}

impl ControlStore {
    /// Commits a command and returns its outcome.
    ///
    /// # Errors
    ///
    /// Fails when this replica can't commit, or does not know whether the command was committed.
    pub(crate) async fn propose(
        &self,
        command: &ControlCommand,
    ) -> Result<ControlOutcome, CallRefusal> {
        // A command that can't be encoded is never proposed, so it can't have been committed.
        let bytes = command.encode().map_err(|_| CallRefusal::NoQuorum)?;
        let outcome = match self {
            #[cfg(test)]
            Self::Memory(store) => std::future::ready(store.propose(&bytes)).await?,
            Self::Replicated { handle, .. } => handle.propose(bytes).await?,
        };
        ControlOutcome::decode(&outcome).map_err(|_| CallRefusal::OutcomeUnknown)
    }

    /// Confirms that the state includes everything committed before the call, and returns its
    /// revision.
    ///
    /// # Errors
    ///
    /// Fails when no majority confirms the read.
    pub(crate) async fn confirm_read(&self) -> Result<FeedRevision, CallRefusal> {
        match self {
            #[cfg(test)]
            Self::Memory(store) => std::future::ready(store.confirm_read()).await,
            Self::Replicated { handle, state } => {
                handle.confirm_read().await?;
                Ok(state.revision())
            }
        }
    }

    /// Waits for a while until a leader is known.
    pub(crate) async fn wait_for_leader(&self) {
        match self {
            #[cfg(test)]
            Self::Memory(_) => {}
            Self::Replicated { handle, .. } => handle.wait_for_leader().await,
        }
    }

    /// Returns this replica's view of the leader.
    pub(crate) fn leader_view(&self) -> LeaderView {
        match self {
            #[cfg(test)]
            Self::Memory(_) => LeaderView::Leading { term: 1 },
            Self::Replicated { handle, .. } => handle.leader_view(),
        }
    }

    /// Returns the status of the group's replicas; `address` is that of this one.
    pub(crate) fn replicas(&self, address: SocketAddrV4) -> Vec<ReplicaStatus> {
        match self {
            #[cfg(test)]
            Self::Memory(store) => vec![ReplicaStatus {
                address,
                role: crate::control::api::ReplicaRole::Leader,
                durable_index: store.confirm_read().unwrap_or_default().count(),
            }],
            Self::Replicated { handle, .. } => handle.replicas(address),
        }
    }
}
