use std::{fs, path::PathBuf, sync::Arc, time::SystemTime};

use arc_swap::{ArcSwap, Guard};

use super::{DeploymentSecret, KeyRing, SecretError};
use crate::{clock::SpanMillis, event::log_event, settings::SettingsEvent};

/// How often the file's modification time is checked.
const POLL_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// The current keys of this process, reloaded when the secret file changes.
#[derive(Debug, Clone)]
pub struct SecretStore {
    ring: Arc<ArcSwap<KeyRing>>,
}

impl SecretStore {
    /// Creates a store with the keys of `secret`, without a file to watch.
    ///
    /// # Errors
    ///
    /// Fails when the secret is invalid.
    pub fn new(secret: &DeploymentSecret) -> Result<Self, SecretError> {
        Ok(Self {
            ring: Arc::new(ArcSwap::from_pointee(KeyRing::new(secret)?)),
        })
    }

    /// Reads the secret file and reloads it whenever it changes.
    ///
    /// Must be called within a Tokio runtime. When a changed file is unusable,
    /// the error is logged and the current keys are kept.
    ///
    /// # Errors
    ///
    /// Fails when the file is unusable on the first read.
    pub fn open(path: PathBuf) -> Result<Self, SecretError> {
        let store = Self::new(&DeploymentSecret::load(&path)?)?;
        let watcher = store.clone();
        tokio::spawn(async move { watcher.watch_file(path).await });
        Ok(store)
    }

    /// Returns the current keys; hold the guard only briefly.
    #[must_use]
    pub fn keys(&self) -> Guard<Arc<KeyRing>> {
        self.ring.load()
    }

    /// Replaces the current keys by those of `secret`.
    ///
    /// # Errors
    ///
    /// Fails when the secret is invalid; the current keys are kept.
    pub fn replace(&self, secret: &DeploymentSecret) -> Result<(), SecretError> {
        self.ring.store(Arc::new(KeyRing::new(secret)?));
        Ok(())
    }

    async fn watch_file(self, path: PathBuf) {
        let mut last_modified = modified_at(&path);
        loop {
            tokio::time::sleep(POLL_MILLIS.duration()).await;
            let modified = modified_at(&path);
            if modified == last_modified {
                continue;
            }
            last_modified = modified;
            match DeploymentSecret::load(&path).and_then(|secret| self.replace(&secret)) {
                Ok(()) => log_event!(info, SettingsEvent::SecretReloaded),
                Err(error) => log_event!(error, SettingsEvent::SecretRefused, %error),
            }
        }
    }
}

fn modified_at(path: &PathBuf) -> Option<SystemTime> {
    fs::metadata(path)
        .and_then(|metadata| metadata.modified())
        .ok()
}
