use serde::{Deserialize, Serialize};

use super::ControlStatus;
use crate::{
    key::{FeedRevision, ServiceNumber},
    manifest::ServiceSpec,
    route::TargetRoute,
};

/// The state of one control replica; the call `dump`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlDump {
    /// The replica's name from its settings.
    pub name: String,
    /// What an operator sees of the group.
    pub status: ControlStatus,
    /// The revision that the oldest held change comes after.
    pub history_floor: FeedRevision,
    /// The changes that the feed holds.
    pub history_changes: usize,
    /// The leases that are kept here; none unless this replica leads.
    pub leases: usize,
    /// The services whose silent leases are held.
    pub lease_holds: usize,
    /// The services in force, up to a bound.
    pub services: Vec<DumpedService>,
    /// The registered targets, up to a bound.
    pub targets: Vec<TargetRoute>,
}

/// One service of a dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DumpedService {
    /// The number that packets carry.
    pub number: ServiceNumber,
    /// The registered targets.
    pub targets: usize,
    /// What the manifest says.
    pub spec: ServiceSpec,
}
