use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::WatcherName;
use crate::{
    key::{DomainName, FeedRevision},
    manifest::ManifestDigest,
};

/// Asks for the status or the dump; the calls `status` and `dump`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusRequest {}

/// What an operator sees of the control group; the call `status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The revision of the confirmed state.
    pub revision: FeedRevision,
    /// The version of the manifest in force.
    pub manifest_version: u64,
    /// The digest of the manifest in force, if there is one.
    pub manifest_digest: Option<ManifestDigest>,
    /// The revision at which that manifest was accepted.
    pub manifest_revision: FeedRevision,
    /// The services in force.
    pub services: usize,
    /// The registered targets.
    pub targets: usize,
    /// The replicas, as the leader sees them.
    pub replicas: Vec<ReplicaStatus>,
    /// All watchers of this replica's feed.
    pub watcher_count: usize,
    /// Those watchers that lag furthest, up to a bound.
    pub watchers: Vec<WatcherStatus>,
}

/// One replica of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Where the replica answers calls.
    pub address: SocketAddrV4,
    /// What it does in the group.
    pub role: ReplicaRole,
    /// The log entries that it holds durably.
    pub held: u64,
}

/// What a replica does in the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaRole {
    /// Orders the changes.
    Leader,
    /// Holds the log and votes.
    Follower,
    /// Holds the log and does not count yet.
    Learner,
}

/// One watcher of the feed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatcherStatus {
    /// The watcher's name from its settings.
    pub name: WatcherName,
    /// Where it runs.
    pub domain: DomainName,
    /// The revision that it reported to be in force.
    pub in_force: FeedRevision,
    /// The milliseconds since it was last heard.
    pub silent_millis: u64,
}
