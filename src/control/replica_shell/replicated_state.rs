use crate::{
    control::{state::StateError, store::StateHandle},
    listener::ListenerStore,
};

/// The replicated state machine; each kind of deployment has its own.
#[derive(Debug, Clone)]
pub(crate) enum ReplicatedState {
    /// Manifest, registrations and feed of a deployment with agents.
    Registry(StateHandle),
    /// Listener routes of a deployment whose packets carry no route.
    Listeners(ListenerStore),
}

impl ReplicatedState {
    /// Applies a committed command; returns its encoded outcome.
    pub(super) fn apply(&self, command: &[u8]) -> Vec<u8> {
        match self {
            Self::Registry(state) => state.apply(command),
            Self::Listeners(store) => store.apply(command),
        }
    }

    /// Encodes the state.
    pub(super) fn snapshot(&self) -> Result<Vec<u8>, StateError> {
        match self {
            Self::Registry(state) => state.snapshot(),
            Self::Listeners(store) => store.snapshot(),
        }
    }

    /// Replaces the state with an encoded one.
    pub(super) fn restore(&self, bytes: &[u8]) -> Result<(), StateError> {
        match self {
            Self::Registry(state) => state.restore(bytes),
            Self::Listeners(store) => store.restore(bytes),
        }
    }
}
