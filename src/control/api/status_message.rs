use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::WatcherName;
use crate::{
    key::{FailureDomain, FeedRevision},
    manifest::ManifestDigest,
};

/// Request of the calls `status` and `dump`; it has no fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusRequest {}

/// Reply to `status`: the state of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The revision of the confirmed state.
    pub revision: FeedRevision,
    /// The version of the manifest in force, zero if there is none; no manifest has that
    /// version.
    pub manifest_version: u64,
    /// The digest of the manifest in force, if there is one.
    pub manifest_digest: Option<ManifestDigest>,
    /// The revision at which the manifest in force was accepted.
    pub manifest_revision: FeedRevision,
    /// The number of services in force.
    pub services: usize,
    /// The number of registered targets.
    pub targets: usize,
    /// The replicas of the group as the called replica sees them.
    pub replicas: Vec<ReplicaStatus>,
    /// The number of watchers of this replica's feed.
    pub watcher_count: usize,
    /// The watchers that lag furthest, truncated at a limit.
    pub watchers: Vec<WatcherStatus>,
}

/// One replica of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica's call address.
    pub address: SocketAddrV4,
    /// The replica's role in the group.
    pub role: ReplicaRole,
    /// The last log index that the replica holds durably.
    #[serde(rename = "held")]
    pub durable_index: u64,
}

/// A replica's role in the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaRole {
    /// Orders and replicates all changes.
    Leader,
    /// Replicates the log and votes.
    Follower,
    /// Replicates the log without a vote.
    Learner,
}

/// One watcher of the feed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatcherStatus {
    /// The watcher's name from its settings.
    pub name: WatcherName,
    /// The region and failure domain that the watcher runs in.
    pub domain: FailureDomain,
    /// The revision in force at the watcher, from its last call.
    pub in_force: FeedRevision,
    /// The milliseconds since its last call.
    pub silent_millis: u64,
}
