use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::packed_routes::PackedRoutes;
use crate::{
    clock::SpanMillis,
    key::{DomainName, FeedRevision},
    route::{RouteDelta, RouteSnapshot},
};

/// The name of a watcher, from its settings.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatcherName {
    /// A balancer.
    Balancer(String),
    /// An agent.
    Agent(String),
}

/// Asks for what came after a revision; the call `watch`.
///
/// The answer waits until there is something new or `wait` has passed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchRequest {
    /// Who asks.
    pub watcher: WatcherName,
    /// Where the watcher runs.
    pub domain: DomainName,
    /// What the watcher wants to hear of.
    pub scope: WatchScope,
    /// The revision that is in force at the watcher.
    pub in_force: FeedRevision,
    /// How long the answer may wait.
    pub wait: SpanMillis,
}

/// The part of the routes that a watcher wants.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchScope {
    /// Every service.
    All,
    /// The service of this name.
    Service(String),
}

/// What came after the revision that was asked for.
///
/// A delta may stop short of the newest revision; the watcher asks again.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FeedReply {
    /// Nothing; the replica confirmed that it is current.
    Unchanged {
        /// The confirmed revision; a scoped watcher may go on from here.
        revision: FeedRevision,
    },
    /// The changes since then.
    Delta(#[serde_as(as = "PackedRoutes")] RouteDelta),
    /// Everything, since the changes are no longer held.
    Snapshot(#[serde_as(as = "PackedRoutes")] RouteSnapshot),
}
