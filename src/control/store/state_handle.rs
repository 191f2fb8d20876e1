use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::{
    control::{
        api::{CallRefusal, WatchScope},
        feed::{FeedAnswer, FeedNotifier, FeedScope, FeedState},
        lease::LeaseHolder,
        state::StateError,
    },
    key::{FeedRevision, TargetKey},
    route::{RouteChange, TargetRoute},
};

/// A handle to this replica's state, shared by the log, the calls and the leases.
#[derive(Debug, Clone)]
pub(crate) struct StateHandle {
    shared: Arc<Mutex<SharedState>>,
}

#[derive(Debug)]
struct SharedState {
    feed: FeedState,
    notifier: FeedNotifier,
}

/// The changes of registrations since a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RegistrationChanges {
    /// Each change in order; `None` for a removed target.
    Incremental(Vec<(TargetKey, Option<LeaseHolder>)>),
    /// All registrations, if the changes since the revision are not available.
    Full(Vec<LeaseHolder>),
}

impl StateHandle {
    /// Creates a handle to `feed`.
    pub(crate) fn new(feed: FeedState) -> Self {
        let notifier = FeedNotifier::new(feed.state().revision());
        Self {
            shared: Arc::new(Mutex::new(SharedState { feed, notifier })),
        }
    }

    /// Executes one committed command and wakes the affected watchers; returns the encoded
    /// outcome.
    pub(crate) fn apply(&self, command: &[u8]) -> Vec<u8> {
        let mut shared = self.lock();
        let transition = shared.feed.apply(command);
        if transition.effective {
            let revision = shared.feed.state().revision();
            shared.notifier.notify(revision, &transition.changes);
        }
        transition.outcome.encode()
    }

    /// Encodes the replicated state as a snapshot.
    pub(crate) fn snapshot(&self) -> Result<Vec<u8>, StateError> {
        self.lock().feed.snapshot()
    }

    /// Replaces the state with that of a snapshot and wakes every watcher.
    pub(crate) fn restore(&self, bytes: &[u8]) -> Result<(), StateError> {
        let mut shared = self.lock();
        shared.feed.restore(bytes)?;
        let revision = shared.feed.state().revision();
        shared.notifier.notify_all(revision);
        Ok(())
    }

    /// Returns the revision of the state.
    pub(crate) fn revision(&self) -> FeedRevision {
        self.lock().feed.state().revision()
    }

    /// Calls `inspect` with the state locked. It must be short and must not use this handle.
    pub(crate) fn read<T>(&self, inspect: impl FnOnce(&FeedState) -> T) -> T {
        inspect(&self.lock().feed)
    }

    /// Resolves the scope that a watcher requested.
    ///
    /// Fails for a service name that was never in a manifest.
    pub(crate) fn scope(&self, scope: &WatchScope) -> Result<FeedScope, CallRefusal> {
        self.lock().feed.scope(scope)
    }

    /// Returns a receiver that is notified when `scope` may have changed.
    pub(crate) fn subscribe(&self, scope: FeedScope) -> watch::Receiver<FeedRevision> {
        self.lock().notifier.subscribe(scope)
    }

    /// Returns the reply for a watcher whose routes are at revision `in_force`.
    pub(crate) fn answer(&self, scope: FeedScope, in_force: FeedRevision) -> FeedAnswer {
        self.lock().feed.answer(scope, in_force)
    }

    /// Returns the incarnation that is registered at an address.
    pub(crate) fn lease_holder(&self, target: TargetKey) -> Option<LeaseHolder> {
        let shared = self.lock();
        let registrations = shared.feed.state().registrations();
        registrations.target(target).map(lease_holder_of)
    }

    /// Returns the current revision and the changes of registrations since `since`.
    pub(crate) fn registration_changes(
        &self,
        since: FeedRevision,
    ) -> (FeedRevision, RegistrationChanges) {
        let shared = self.lock();
        let state = shared.feed.state();
        let recent = shared.feed.history().changes_after(since);
        let changes = match recent {
            Some(changes) if since != FeedRevision::EMPTY => {
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

fn lease_holder_of(route: &TargetRoute) -> LeaseHolder {
    LeaseHolder {
        target: route.key,
        incarnation: route.incarnation,
        service: route.service,
    }
}

fn registration_change(change: &RouteChange) -> Option<(TargetKey, Option<LeaseHolder>)> {
    match change {
        RouteChange::TargetSet(route) => Some((route.key, Some(lease_holder_of(route)))),
        RouteChange::TargetRemoved(target) => Some((*target, None)),
        RouteChange::ServiceSet(_) | RouteChange::ServiceRemoved(_) => None,
    }
}
