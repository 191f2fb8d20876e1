use std::sync::Arc;

use super::{ChangeHistory, EncodedReply, FeedAnswer, FeedScope, ReplyCache};
use crate::{
    control::{
        api::{CallRefusal, FeedReply, WatchScope},
        state::{ControlState, StateError, StateTransition},
    },
    key::FeedRevision,
    route::{RouteDelta, RouteSnapshot},
};

/// The approximate packed bytes at which a delta ends; the watcher requests the rest.
const DELTA_BYTES: usize = 3 * 1_024;

/// The replicated state of one replica, with the recent changes that its feed serves.
#[derive(Debug)]
pub(crate) struct FeedState {
    state: ControlState,
    history: ChangeHistory,
    cache: ReplyCache,
}

impl FeedState {
    /// Creates the initial state.
    pub(crate) fn new() -> Self {
        Self::with_state(ControlState::new())
    }

    /// Wraps a state with an empty history.
    pub(crate) fn with_state(state: ControlState) -> Self {
        Self {
            history: ChangeHistory::new(state.revision()),
            state,
            cache: ReplyCache::default(),
        }
    }

    /// Replaces the history, so that a test can limit it.
    #[cfg(test)]
    pub(crate) fn with_history(mut self, history: ChangeHistory) -> Self {
        self.history = history;
        self
    }

    /// Returns the replicated state.
    pub(crate) fn state(&self) -> &ControlState {
        &self.state
    }

    /// Returns the recent changes.
    pub(crate) fn history(&self) -> &ChangeHistory {
        &self.history
    }

    /// Executes one committed command and records its changes.
    pub(crate) fn apply(&mut self, command: &[u8]) -> StateTransition {
        let transition = self.state.apply(command);
        if transition.effective {
            let version = self.state.manifest().version();
            self.history.push(transition.changes.clone(), version);
            self.cache.clear();
        }
        transition
    }

    /// Encodes the replicated state as a snapshot.
    pub(crate) fn snapshot(&self) -> Result<Vec<u8>, StateError> {
        self.state.snapshot()
    }

    /// Replaces the state with that of a snapshot and empties the history.
    pub(crate) fn restore(&mut self, bytes: &[u8]) -> Result<(), StateError> {
        *self = Self::with_state(ControlState::restore(bytes)?);
        Ok(())
    }

    /// Resolves the scope that a watcher requested.
    ///
    /// Fails for a service name that was never in a manifest.
    pub(crate) fn scope(&self, scope: &WatchScope) -> Result<FeedScope, CallRefusal> {
        match scope {
            WatchScope::All => Ok(FeedScope::All),
            WatchScope::Service(name) => self
                .state
                .manifest()
                .number(name)
                .map(FeedScope::Service)
                .ok_or_else(|| CallRefusal::UnknownService { name: name.clone() }),
        }
    }

    /// Returns the reply for a watcher whose routes are at revision `in_force`.
    pub(crate) fn answer(&mut self, scope: FeedScope, in_force: FeedRevision) -> FeedAnswer {
        let revision = self.state.revision();
        if in_force > revision {
            return FeedAnswer::Behind;
        }
        if in_force == revision {
            return FeedAnswer::Unchanged(revision);
        }
        if in_force == FeedRevision::EMPTY {
            return FeedAnswer::Update(self.encoded_snapshot(scope));
        }
        if let Some(reply) = self.cache.get(scope, Some(in_force)) {
            return FeedAnswer::Update(reply);
        }
        match self.history.delta(scope, in_force, DELTA_BYTES) {
            None => FeedAnswer::Update(self.encoded_snapshot(scope)),
            Some(delta) if is_noop_for(scope, &delta) => FeedAnswer::Unchanged(delta.revision),
            Some(delta) => {
                let reply = encode_reply(&FeedReply::Delta(delta));
                self.cache.insert(scope, Some(in_force), &reply);
                FeedAnswer::Update(reply)
            }
        }
    }

    /// Returns all routes of a scope.
    pub(crate) fn routes(&self, scope: FeedScope) -> RouteSnapshot {
        let manifest = self.state.manifest();
        let registrations = self.state.registrations();
        let (services, targets) = match scope {
            FeedScope::All => (
                manifest.services().collect(),
                registrations.targets().cloned().collect(),
            ),
            FeedScope::Service(number) => (
                manifest.route(number).into_iter().collect(),
                registrations.members(number).cloned().collect(),
            ),
        };
        RouteSnapshot {
            revision: self.state.revision(),
            services,
            targets,
            manifest_version: manifest.version(),
        }
    }

    fn encoded_snapshot(&mut self, scope: FeedScope) -> EncodedReply {
        if let Some(reply) = self.cache.get(scope, None) {
            return reply;
        }
        let snapshot = self.routes(scope);
        let reply = encode_reply(&FeedReply::Snapshot(snapshot));
        self.cache.insert(scope, None, &reply);
        reply
    }
}

/// Returns whether a delta changes nothing for watchers of `scope`.
///
/// Watchers of all services are also sent an empty delta, since they report the manifest
/// version in it.
fn is_noop_for(scope: FeedScope, delta: &RouteDelta) -> bool {
    matches!(scope, FeedScope::Service(_)) && delta.changes.is_empty()
}

fn encode_reply(reply: &FeedReply) -> EncodedReply {
    let text =
        serde_json::value::to_raw_value(reply).expect("routes can always be encoded as JSON");
    EncodedReply {
        text: Arc::from(text),
    }
}
