use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use super::StateHandle;
use crate::{control::api::CallRefusal, key::FeedRevision};

/// A group of a single replica that keeps its state in memory.
#[derive(Debug, Clone)]
pub(crate) struct MemoryStore {
    state: StateHandle,
    is_isolated: Arc<AtomicBool>,
}

impl MemoryStore {
    /// Creates a store that executes commands on `state`.
    pub(crate) fn new(state: StateHandle) -> Self {
        Self {
            state,
            is_isolated: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Makes every later call fail, as if this replica had lost its connections to the others.
    pub(crate) fn isolate(&self) {
        self.is_isolated.store(true, Ordering::Relaxed);
    }

    /// Executes a command at once and returns its encoded outcome.
    pub(crate) fn propose(&self, command: &[u8]) -> Result<Vec<u8>, CallRefusal> {
        self.confirm_read()?;
        Ok(self.state.apply(command))
    }

    /// Returns the revision of the state, unless this replica is isolated.
    pub(crate) fn confirm_read(&self) -> Result<FeedRevision, CallRefusal> {
        if self.is_isolated.load(Ordering::Relaxed) {
            return Err(CallRefusal::NoQuorum);
        }
        Ok(self.state.revision())
    }
}
