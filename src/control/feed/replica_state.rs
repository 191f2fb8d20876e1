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

/// The packed bytes at which a delta ends; the watcher asks for the rest.
const DELTA_BYTES: usize = 3 * 1_024;

/// The agreed state of one replica with the history that its feed serves.
#[derive(Debug)]
pub(crate) struct ReplicaState {
    state: ControlState,
    history: ChangeHistory,
    cache: ReplyCache,
}

impl ReplicaState {
    /// Creates the state before the first command.
    pub(crate) fn new() -> Self {
        Self::with_state(ControlState::new())
    }

    /// Starts with a state whose earlier changes are gone.
    pub(crate) fn with_state(state: ControlState) -> Self {
        Self {
            history: ChangeHistory::new(state.revision()),
            state,
            cache: ReplyCache::default(),
        }
    }

    /// Replaces the history, to bound it otherwise.
    #[cfg(test)]
    pub(crate) fn with_history(mut self, history: ChangeHistory) -> Self {
        self.history = history;
        self
    }

    /// Returns the agreed state.
    pub(crate) fn state(&self) -> &ControlState {
        &self.state
    }

    /// Returns the changes that the feed holds.
    pub(crate) fn history(&self) -> &ChangeHistory {
        &self.history
    }

    /// Executes one committed command and remembers what it changed.
    pub(crate) fn apply(&mut self, command: &[u8]) -> StateTransition {
        let transition = self.state.apply(command);
        if transition.effective {
            let version = self.state.manifest().version();
            self.history.push(transition.changes.clone(), version);
            self.cache.clear();
        }
        transition
    }

    /// Returns the agreed state as bytes.
    pub(crate) fn snapshot(&self) -> Result<Vec<u8>, StateError> {
        self.state.snapshot()
    }

    /// Takes over the state of a snapshot; the history starts anew.
    pub(crate) fn restore(&mut self, bytes: &[u8]) -> Result<(), StateError> {
        *self = Self::with_state(ControlState::restore(bytes)?);
        Ok(())
    }

    /// Returns the scope that a watcher names.
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

    /// Returns what came after the revision in force at a watcher.
    pub(crate) fn answer(&mut self, scope: FeedScope, in_force: FeedRevision) -> FeedAnswer {
        let revision = self.state.revision();
        if in_force > revision {
            return FeedAnswer::Behind;
        }
        if in_force == revision {
            return FeedAnswer::Unchanged(revision);
        }
        if in_force == FeedRevision::EMPTY {
            return FeedAnswer::News(self.encoded_snapshot(scope));
        }
        if let Some(reply) = self.cache.find(scope, Some(in_force)) {
            return FeedAnswer::News(reply);
        }
        match self.history.delta(scope, in_force, DELTA_BYTES) {
            None => FeedAnswer::News(self.encoded_snapshot(scope)),
            Some(delta) if is_idle(scope, &delta) => FeedAnswer::Unchanged(delta.revision),
            Some(delta) => {
                let reply = encode(&FeedReply::Delta(delta));
                self.cache.keep(scope, Some(in_force), &reply);
                FeedAnswer::News(reply)
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
        if let Some(reply) = self.cache.find(scope, None) {
            return reply;
        }
        let snapshot = self.routes(scope);
        let reply = encode(&FeedReply::Snapshot(snapshot));
        self.cache.keep(scope, None, &reply);
        reply
    }
}

/// Returns whether a delta tells its watcher nothing.
///
/// A new manifest version counts for watchers of everything, since they report it.
fn is_idle(scope: FeedScope, delta: &RouteDelta) -> bool {
    matches!(scope, FeedScope::Service(_)) && delta.changes.is_empty()
}

fn encode(reply: &FeedReply) -> EncodedReply {
    let text = serde_json::value::to_raw_value(reply).expect("routes always have a JSON form");
    EncodedReply {
        text: Arc::from(text),
    }
}
