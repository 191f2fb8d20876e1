use super::StateHandle;
use crate::key::FeedRevision;

/// A group of a single replica that keeps its state in memory only.
#[derive(Debug, Clone)]
pub(crate) struct MemoryStore {
    state: StateHandle,
}

impl MemoryStore {
    /// Orders commands for `state`.
    pub(crate) fn new(state: StateHandle) -> Self {
        Self { state }
    }

    /// Commits and executes a command at once.
    pub(crate) fn propose(&self, command: &[u8]) -> Vec<u8> {
        self.state.apply(command)
    }

    /// Returns the newest revision; a single replica is always current.
    pub(crate) fn confirm_read(&self) -> FeedRevision {
        self.state.revision()
    }
}
