use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::ListenerManifest;
use crate::{
    control::{ControlEvent, StateError},
    event::log_event,
    key::FeedRevision,
};

/// A manifest together with the document that it was read from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredManifest {
    /// The routes.
    pub(crate) manifest: ListenerManifest,
    /// The operator's document, for reading back.
    pub(crate) document: Vec<u8>,
}

impl StoredManifest {
    /// Returns the command that proposes this manifest to the log.
    ///
    /// # Errors
    ///
    /// Fails when it can't be encoded.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, StateError> {
        postcard::to_stdvec(self).map_err(StateError::Command)
    }
}

/// The replicated state of a deployment that has only listener routes: the
/// manifest with the highest version.
#[derive(Debug, Clone)]
pub(crate) struct ListenerStore {
    held: Arc<Mutex<Option<Arc<StoredManifest>>>>,
    news: watch::Sender<Option<Arc<StoredManifest>>>,
}

impl ListenerStore {
    /// Creates a store without a manifest.
    pub(crate) fn new() -> Self {
        Self {
            held: Arc::default(),
            news: watch::Sender::new(None),
        }
    }

    /// Executes one committed command; a version that is not higher than the
    /// one held changes nothing. Returns an empty outcome.
    pub(crate) fn apply(&self, command: &[u8]) -> Vec<u8> {
        match postcard::from_bytes::<StoredManifest>(command) {
            Ok(stored) => self.take(stored),
            // Every replica ignores it alike.
            Err(error) => log_event!(error, ControlEvent::CommandUnread, %error),
        }
        Vec::new()
    }

    fn take(&self, stored: StoredManifest) {
        let mut held = self.lock();
        let newer = held
            .as_ref()
            .is_none_or(|old| old.manifest.version < stored.manifest.version);
        if newer {
            *held = Some(Arc::new(stored));
            self.news.send_replace(held.clone());
        }
    }

    /// Returns the state as bytes.
    ///
    /// # Errors
    ///
    /// Fails when it can't be encoded.
    pub(crate) fn snapshot(&self) -> Result<Vec<u8>, StateError> {
        postcard::to_stdvec(&self.lock().as_deref()).map_err(StateError::Snapshot)
    }

    /// Takes over the state of a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no state; the state held stays.
    pub(crate) fn restore(&self, bytes: &[u8]) -> Result<(), StateError> {
        let state: Option<StoredManifest> =
            postcard::from_bytes(bytes).map_err(StateError::Snapshot)?;
        let mut held = self.lock();
        *held = state.map(Arc::new);
        self.news.send_replace(held.clone());
        Ok(())
    }

    /// Returns the manifest in force.
    pub(crate) fn current(&self) -> Option<Arc<StoredManifest>> {
        self.lock().clone()
    }

    /// Returns the version in force as a revision; zero before the first one.
    pub(crate) fn revision(&self) -> FeedRevision {
        let version = self.lock().as_ref().map_or(0, |held| held.manifest.version);
        FeedRevision::new(version)
    }

    /// Returns a receiver that shows each manifest that comes in force.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Arc<StoredManifest>>> {
        self.news.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Arc<StoredManifest>>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
