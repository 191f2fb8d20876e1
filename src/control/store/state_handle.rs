use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::{
    control::{
        api::{CallRefusal, WatchScope},
        feed::{FeedAnswer, FeedScope, FeedSignals, ReplicaState},
        lease::LeaseClaim,
        state::StateError,
    },
    key::{FeedRevision, TargetKey},
    route::{RouteChange, TargetRoute},
};

/// The state of this replica, shared by the log, the calls and the leases.
#[derive(Debug, Clone)]
pub(crate) struct StateHandle {
    shared: Arc<Mutex<SharedState>>,
}

#[derive(Debug)]
struct SharedState {
    replica: ReplicaState,
    signals: FeedSignals,
}

/// What happened to the registrations since a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RegistrationChanges {
    /// Each change in order; none stands for a removed target.
    Incremental(Vec<(TargetKey, Option<LeaseClaim>)>),
    /// Every registration, since the changes are no longer held.
    Full(Vec<LeaseClaim>),
}

impl StateHandle {
    /// Shares `replica`.
    pub(crate) fn new(replica: ReplicaState) -> Self {
        let signals = FeedSignals::new(replica.state().revision());
        Self {
            shared: Arc::new(Mutex::new(SharedState { replica, signals })),
        }
    }

    /// Executes one committed command and wakes the watchers that it concerns.
    pub(crate) fn apply(&self, command: &[u8]) -> Vec<u8> {
        let mut shared = self.lock();
        let transition = shared.replica.apply(command);
        if transition.effective {
            let revision = shared.replica.state().revision();
            shared.signals.announce(revision, &transition.changes);
        }
        transition.outcome.encode()
    }

    /// Returns the agreed state as bytes.
    pub(crate) fn snapshot(&self) -> Result<Vec<u8>, StateError> {
        self.lock().replica.snapshot()
    }

    /// Takes over the state of a snapshot and wakes every watcher.
    pub(crate) fn restore(&self, bytes: &[u8]) -> Result<(), StateError> {
        let mut shared = self.lock();
        shared.replica.restore(bytes)?;
        let revision = shared.replica.state().revision();
        shared.signals.announce_all(revision);
        Ok(())
    }

    /// Returns the revision of the state.
    pub(crate) fn revision(&self) -> FeedRevision {
        self.lock().replica.state().revision()
    }

    /// Looks at the state for a short time; `look` must not use this handle.
    pub(crate) fn read<T>(&self, look: impl FnOnce(&ReplicaState) -> T) -> T {
        look(&self.lock().replica)
    }

    /// Returns the scope that a watcher names.
    pub(crate) fn scope(&self, scope: &WatchScope) -> Result<FeedScope, CallRefusal> {
        self.lock().replica.scope(scope)
    }

    /// Returns a receiver that changes when news for `scope` may be there.
    pub(crate) fn subscribe(&self, scope: FeedScope) -> watch::Receiver<FeedRevision> {
        self.lock().signals.subscribe(scope)
    }

    /// Returns what came after the revision in force at a watcher.
    pub(crate) fn answer(&self, scope: FeedScope, in_force: FeedRevision) -> FeedAnswer {
        self.lock().replica.answer(scope, in_force)
    }

    /// Returns the run that is registered at an address.
    pub(crate) fn lease_holder(&self, target: TargetKey) -> Option<LeaseClaim> {
        let shared = self.lock();
        let registrations = shared.replica.state().registrations();
        registrations.target(target).map(lease_holder_of)
    }

    /// Returns the revision and what led to it since `seen`.
    pub(crate) fn registration_changes(
        &self,
        seen: FeedRevision,
    ) -> (FeedRevision, RegistrationChanges) {
        let shared = self.lock();
        let state = shared.replica.state();
        let held = shared.replica.history().changes_after(seen);
        let changes = match held {
            Some(changes) if seen != FeedRevision::EMPTY => {
                let changes = changes.filter_map(|change| registration_change(&change.change));
                RegistrationChanges::Incremental(changes.collect())
            }
            _ => RegistrationChanges::Full(
                state
                    .registrations()
                    .targets()
                    .map(lease_holder_of)
                    .collect(),
            ),
        };
        (state.revision(), changes)
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn lease_holder_of(route: &TargetRoute) -> LeaseClaim {
    LeaseClaim {
        target: route.key,
        incarnation: route.incarnation,
        service: route.service,
    }
}

fn registration_change(change: &RouteChange) -> Option<(TargetKey, Option<LeaseClaim>)> {
    match change {
        RouteChange::TargetSet(route) => Some((route.key, Some(lease_holder_of(route)))),
        RouteChange::TargetRemoved(target) => Some((*target, None)),
        RouteChange::ServiceSet(_) | RouteChange::ServiceRemoved(_) => None,
    }
}
