use serde::{Deserialize, Serialize};

use super::{ServiceRoute, TargetRoute};
use crate::key::{FeedRevision, ServiceNumber, TargetKey};

/// One committed change to the routes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteChange {
    /// A service was added or changed.
    ServiceSet(ServiceRoute),
    /// A service was removed from the manifest.
    ServiceRemoved(ServiceNumber),
    /// A target registered, or changed its phase or weight.
    TargetSet(TargetRoute),
    /// A target withdrew or its lease expired.
    TargetRemoved(TargetKey),
}

/// The changes between two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteDelta {
    /// The revision that the changes apply to.
    #[serde(rename = "after")]
    pub base_revision: FeedRevision,
    /// The revision after the changes.
    pub revision: FeedRevision,
    /// The changes in commit order.
    pub changes: Vec<RouteChange>,
    /// The version of the manifest in force at `revision`.
    pub manifest_version: u64,
}

/// All routes at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSnapshot {
    /// The revision of this state.
    pub revision: FeedRevision,
    /// Every service of the manifest in force.
    pub services: Vec<ServiceRoute>,
    /// Every registered target.
    pub targets: Vec<TargetRoute>,
    /// The version of the manifest in force at `revision`.
    pub manifest_version: u64,
}
