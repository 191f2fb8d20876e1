use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::ListenerManifest;
use crate::{
    control::{ControlEvent, StateError},
    event::log_event,
    key::FeedRevision,
};

/// A manifest and the document that it was parsed from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredManifest {
    /// The routes.
    pub(crate) manifest: ListenerManifest,
    /// The operator's document, returned when it is read back.
    pub(crate) document: Vec<u8>,
}

impl StoredManifest {
    /// Encodes the manifest as a command for the replicated log.
    ///
    /// # Errors
    ///
    /// Fails when it can't be encoded.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, StateError> {
        postcard::to_stdvec(self).map_err(StateError::Command)
    }
}

/// Replicated state of a deployment that only has listener routes: the manifest
/// with the highest version.
#[derive(Debug, Clone)]
pub(crate) struct ListenerStore {
    stored: Arc<Mutex<Option<Arc<StoredManifest>>>>,
    changes: watch::Sender<Option<Arc<StoredManifest>>>,
}

impl ListenerStore {
    /// Creates a store without a manifest.
    pub(crate) fn new() -> Self {
        Self {
            stored: Arc::default(),
            changes: watch::Sender::new(None),
        }
    }

    /// Applies one committed command; a manifest whose version is not higher than
    /// the current one changes nothing. Returns an empty outcome.
    pub(crate) fn apply(&self, command: &[u8]) -> Vec<u8> {
        match postcard::from_bytes::<StoredManifest>(command) {
            Ok(stored) => self.replace_if_newer(stored),
            // All replicas ignore it, so they stay consistent.
            Err(error) => log_event!(error, ControlEvent::CommandUnread, %error),
        }
        Vec::new()
    }

    fn replace_if_newer(&self, stored: StoredManifest) {
        let mut current = self.lock();
        let newer = current
            .as_ref()
            .is_none_or(|old| old.manifest.version < stored.manifest.version);
        if newer {
            *current = Some(Arc::new(stored));
            self.changes.send_replace(current.clone());
        }
    }

    /// Encodes the state as a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when it can't be encoded.
    pub(crate) fn snapshot(&self) -> Result<Vec<u8>, StateError> {
        postcard::to_stdvec(&self.lock().as_deref()).map_err(StateError::Snapshot)
    }

    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the bytes can't be decoded; the state then stays unchanged.
    pub(crate) fn restore(&self, bytes: &[u8]) -> Result<(), StateError> {
        let state: Option<StoredManifest> =
            postcard::from_bytes(bytes).map_err(StateError::Snapshot)?;
        let mut current = self.lock();
        *current = state.map(Arc::new);
        self.changes.send_replace(current.clone());
        Ok(())
    }

    /// Returns the manifest in force.
    pub(crate) fn current(&self) -> Option<Arc<StoredManifest>> {
        self.lock().clone()
    }

    /// Returns the version in force as a revision, zero without a manifest.
    pub(crate) fn revision(&self) -> FeedRevision {
        let version = self
            .lock()
            .as_ref()
            .map_or(0, |current| current.manifest.version);
        FeedRevision::new(version)
    }

    /// Returns a receiver that is notified of each manifest that comes into force.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Arc<StoredManifest>>> {
        self.changes.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Arc<StoredManifest>>> {
        self.stored.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
