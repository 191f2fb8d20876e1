use std::{fs, path::PathBuf, sync::Arc, time::SystemTime};

use arc_swap::{ArcSwap, Guard};

use super::{DeploymentSecret, KeyRing, SecretError};
use crate::{clock::SpanMillis, event::log_event, settings::SettingsEvent};

/// How often the file's time of change is looked at.
const POLL_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// The keys in force in this process; a changed secret file replaces them.
#[derive(Debug, Clone)]
pub struct SecretStore {
    ring: Arc<ArcSwap<KeyRing>>,
}

impl SecretStore {
    /// Holds the keys of `secret`, without a file behind it.
    ///
    /// # Errors
    ///
    /// Fails when the secret does not verify.
    pub fn new(secret: &DeploymentSecret) -> Result<Self, SecretError> {
        Ok(Self {
            ring: Arc::new(ArcSwap::from_pointee(KeyRing::new(secret)?)),
        })
    }

    /// Reads the secret file and reloads it whenever it changes.
    ///
    /// It must be called within the runtime. A changed file that is unusable
    /// is logged, and the keys in force stay.
    ///
    /// # Errors
    ///
    /// Fails when the file is unusable at the start.
    pub fn open(path: PathBuf) -> Result<Self, SecretError> {
        let store = Self::new(&DeploymentSecret::load(&path)?)?;
        let watched = store.clone();
        tokio::spawn(async move { watched.watch_file(path).await });
        Ok(store)
    }

    /// Returns the keys in force, for a short use.
    #[must_use]
    pub fn keys(&self) -> Guard<Arc<KeyRing>> {
        self.ring.load()
    }

    /// Puts the keys of another secret in force.
    ///
    /// # Errors
    ///
    /// Fails when the secret does not verify; the keys in force stay.
    pub fn replace(&self, secret: &DeploymentSecret) -> Result<(), SecretError> {
        self.ring.store(Arc::new(KeyRing::new(secret)?));
        Ok(())
    }

    async fn watch_file(self, path: PathBuf) {
        let mut seen = changed_at(&path);
        loop {
            tokio::time::sleep(POLL_MILLIS.duration()).await;
            let found = changed_at(&path);
            if found == seen {
                continue;
            }
            seen = found;
            match DeploymentSecret::load(&path).and_then(|secret| self.replace(&secret)) {
                Ok(()) => log_event!(info, SettingsEvent::SecretReloaded),
                Err(error) => log_event!(error, SettingsEvent::SecretRefused, %error),
            }
        }
    }
}

fn changed_at(path: &PathBuf) -> Option<SystemTime> {
    fs::metadata(path).and_then(|data| data.modified()).ok()
}
