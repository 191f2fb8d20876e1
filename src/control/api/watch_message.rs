use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::packed_routes::PackedRoutes;
use crate::{
    clock::SpanMillis,
    key::{FailureDomain, FeedRevision},
    route::{RouteDelta, RouteSnapshot},
};

/// The name and kind of a watcher, from its settings.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatcherName {
    /// A balancer.
    Balancer(String),
    /// An agent.
    Agent(String),
}

/// Request of the long-poll call `watch`: returns the changes after a revision.
///
/// The reply is held back until there is a change or `wait` has passed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchRequest {
    /// The watcher's name.
    pub watcher: WatcherName,
    /// The region and failure domain that the watcher runs in.
    pub domain: FailureDomain,
    /// The part of the routes to watch.
    pub scope: WatchScope,
    /// The revision in force at the watcher.
    pub in_force: FeedRevision,
    /// The longest time to hold back the reply.
    pub wait: SpanMillis,
}

/// The part of the routes that a watcher follows.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchScope {
    /// Every service.
    All,
    /// The service with this name.
    Service(String),
}

/// Reply to `watch`: the changes after the requested revision.
///
/// A delta may end before the newest revision; the watcher then calls again.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FeedReply {
    /// No changes; the replica confirmed that its state is current.
    Unchanged {
        /// The confirmed revision, from which a scoped watcher may continue.
        revision: FeedRevision,
    },
    /// The changes since the requested revision.
    Delta(#[serde_as(as = "PackedRoutes")] RouteDelta),
    /// All routes, sent when the history no longer has the changes.
    Snapshot(#[serde_as(as = "PackedRoutes")] RouteSnapshot),
}
