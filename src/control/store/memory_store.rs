use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use super::StateHandle;
use crate::{control::api::CallRefusal, key::FeedRevision};

/// A group of a single replica that keeps its state in memory only.
#[derive(Debug, Clone)]
pub(crate) struct MemoryStore {
    state: StateHandle,
    is_cut_off: Arc<AtomicBool>,
}

impl MemoryStore {
    /// Orders commands for `state`.
    pub(crate) fn new(state: StateHandle) -> Self {
        Self {
            state,
            is_cut_off: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Plays the part of a replica that hears nothing of the others.
    pub(crate) fn cut_off(&self) {
        self.is_cut_off.store(true, Ordering::Relaxed);
    }

    /// Commits and executes a command at once.
    pub(crate) fn propose(&self, command: &[u8]) -> Result<Vec<u8>, CallRefusal> {
        self.confirm_read()?;
        Ok(self.state.apply(command))
    }

    /// Returns the newest revision, unless this replica is cut off.
    pub(crate) fn confirm_read(&self) -> Result<FeedRevision, CallRefusal> {
        if self.is_cut_off.load(Ordering::Relaxed) {
            return Err(CallRefusal::NoQuorum);
        }
        Ok(self.state.revision())
    }
}
