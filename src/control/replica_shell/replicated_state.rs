use crate::{
    control::{state::StateError, store::StateHandle},
    key::FeedRevision,
    listener::ListenerStore,
};

/// The state machine behind a replicated log; each kind of deployment has one.
#[derive(Debug, Clone)]
pub(crate) enum ReplicatedState {
    /// Manifest, registrations and the feed of a deployment of agents.
    Registry(StateHandle),
    /// The listener routes of a deployment whose packets carry no route.
    Listeners(ListenerStore),
}

impl ReplicatedState {
    /// Executes one committed command; returns its encoded outcome.
    pub(super) fn apply(&self, command: &[u8]) -> Vec<u8> {
        match self {
            Self::Registry(state) => state.apply(command),
            Self::Listeners(store) => store.apply(command),
        }
    }

    /// Returns the state as bytes.
    pub(super) fn snapshot(&self) -> Result<Vec<u8>, StateError> {
        match self {
            Self::Registry(state) => state.snapshot(),
            Self::Listeners(store) => store.snapshot(),
        }
    }

    /// Takes over the state of a snapshot.
    pub(super) fn restore(&self, bytes: &[u8]) -> Result<(), StateError> {
        match self {
            Self::Registry(state) => state.restore(bytes),
            Self::Listeners(store) => store.restore(bytes),
        }
    }

    /// Returns the revision of the state.
    pub(super) fn revision(&self) -> FeedRevision {
        match self {
            Self::Registry(state) => state.revision(),
            Self::Listeners(store) => store.revision(),
        }
    }
}
