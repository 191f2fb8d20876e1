use serde::{Deserialize, Serialize};

use super::ControlStatus;
use crate::{
    key::{FeedRevision, ServiceNumber},
    manifest::ServiceSpec,
    route::TargetRoute,
};

/// Reply to `dump`: the state of one control replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlDump {
    /// The replica's name from its settings.
    pub name: String,
    /// The group's status as this replica sees it.
    pub status: ControlStatus,
    /// The revision before the oldest change in the feed's history.
    pub history_floor: FeedRevision,
    /// The number of changes in the feed's history.
    pub history_changes: usize,
    /// The number of leases tracked here; zero unless this replica leads.
    pub leases: usize,
    /// The number of services whose overdue leases are held instead of expired.
    pub lease_holds: usize,
    /// The services in force, truncated at a limit.
    pub services: Vec<DumpedService>,
    /// The registered targets, truncated at a limit.
    pub targets: Vec<TargetRoute>,
}

/// One service in a dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DumpedService {
    /// The service's number in packets.
    pub number: ServiceNumber,
    /// The number of registered targets.
    pub targets: usize,
    /// The service's entry in the manifest.
    pub spec: ServiceSpec,
}
