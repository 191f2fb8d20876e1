use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use super::{EvacuationOrder, EvacuationSet, OrderEffect, ServiceColdLimit, StoredManifest};
use crate::{
    control::{ControlEvent, StateError},
    event::log_event,
};

/// The outcome of an order that exceeds the bounds of the set; that of all other
/// commands is empty.
const REFUSED_OUTCOME: [u8; 1] = [1];

/// Replicated state of a deployment that only has listener routes: the manifest
/// with the highest version, and the evacuated failure domains.
#[derive(Debug, Clone)]
pub(crate) struct ListenerStore {
    stored: Arc<Mutex<Option<Arc<StoredManifest>>>>,
    changes: watch::Sender<Option<Arc<StoredManifest>>>,
    evacuations: watch::Sender<Arc<EvacuationSet>>,
}

impl ListenerStore {
    /// Creates a store without a manifest or evacuated domains.
    pub(crate) fn new() -> Self {
        Self {
            stored: Arc::default(),
            changes: watch::Sender::new(None),
            evacuations: watch::Sender::new(Arc::default()),
        }
    }

    /// Applies one committed command; a manifest whose version is not higher than
    /// the current one changes nothing. Returns the outcome, see
    /// `is_refused_outcome`.
    pub(crate) fn apply(&self, command: &[u8]) -> Vec<u8> {
        if EvacuationOrder::is_order(command) {
            return self.apply_order(command);
        }
        match StoredManifest::decode(command) {
            Ok(stored) => self.replace_if_newer(stored),
            // All replicas ignore it, so they stay consistent.
            Err(error) => log_event!(error, ControlEvent::CommandUnread, %error),
        }
        Vec::new()
    }

    fn apply_order(&self, command: &[u8]) -> Vec<u8> {
        let order = match EvacuationOrder::decode(command) {
            Ok(order) => order,
            Err(error) => {
                log_event!(error, ControlEvent::CommandUnread, %error);
                return Vec::new();
            }
        };
        let mut set = EvacuationSet::clone(&self.evacuations());
        match set.apply(order) {
            OrderEffect::Changed => {
                log_event!(info, ControlEvent::EvacuationsChanged, revision = set.revision(), domains = ?set.domains());
                self.evacuations.send_replace(Arc::new(set));
            }
            OrderEffect::Unchanged => {}
            OrderEffect::Refused => {
                log_event!(
                    error,
                    ControlEvent::OrderRefused,
                    evacuated = set.domains().len()
                );
                return REFUSED_OUTCOME.to_vec();
            }
        }
        Vec::new()
    }

    /// Returns whether an outcome tells that the command was refused.
    pub(crate) fn is_refused_outcome(outcome: &[u8]) -> bool {
        outcome == REFUSED_OUTCOME
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

    /// Encodes the state as a snapshot: the manifest, then the evacuated domains, then
    /// the manifest's cold limits. Older builds read the manifest and ignore the rest.
    ///
    /// # Errors
    ///
    /// Fails when it can't be encoded.
    pub(crate) fn snapshot(&self) -> Result<Vec<u8>, StateError> {
        let current = self.current();
        let limits: &[ServiceColdLimit] = current
            .as_ref()
            .map_or(&[], |stored| &stored.manifest.cold_limits);
        let mut bytes = postcard::to_stdvec(&current.as_deref()).map_err(StateError::Snapshot)?;
        let evacuations = self.evacuations();
        let rest = (evacuations.as_ref(), limits);
        bytes.extend(postcard::to_stdvec(&rest).map_err(StateError::Snapshot)?);
        Ok(bytes)
    }

    /// Replaces the state by that of a snapshot. One that ends after the manifest has
    /// no evacuated domains; one that ends after those has no cold limits.
    ///
    /// # Errors
    ///
    /// Fails when the bytes can't be decoded; the state then stays unchanged.
    pub(crate) fn restore(&self, bytes: &[u8]) -> Result<(), StateError> {
        let (mut state, rest): (Option<StoredManifest>, &[u8]) =
            postcard::take_from_bytes(bytes).map_err(StateError::Snapshot)?;
        let (evacuations, rest): (EvacuationSet, &[u8]) = if rest.is_empty() {
            Default::default()
        } else {
            postcard::take_from_bytes(rest).map_err(StateError::Snapshot)?
        };
        if let Some(state) = &mut state
            && !rest.is_empty()
        {
            state.manifest.cold_limits =
                postcard::from_bytes(rest).map_err(StateError::Snapshot)?;
        }
        // Nobody must see the routes without the evacuated domains.
        self.evacuations.send_replace(Arc::new(evacuations));
        let mut current = self.lock();
        *current = state.map(Arc::new);
        self.changes.send_replace(current.clone());
        Ok(())
    }

    /// Returns the manifest in force.
    pub(crate) fn current(&self) -> Option<Arc<StoredManifest>> {
        self.lock().clone()
    }

    /// Returns the evacuated failure domains.
    pub(crate) fn evacuations(&self) -> Arc<EvacuationSet> {
        self.evacuations.borrow().clone()
    }

    /// Returns a receiver that is notified of each manifest that comes into force.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Arc<StoredManifest>>> {
        self.changes.subscribe()
    }

    /// Returns a receiver that is notified of each change of the evacuated domains.
    pub(crate) fn subscribe_evacuations(&self) -> watch::Receiver<Arc<EvacuationSet>> {
        self.evacuations.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Arc<StoredManifest>>> {
        self.stored.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
