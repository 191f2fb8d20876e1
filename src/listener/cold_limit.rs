use serde::{Deserialize, Serialize};

use super::ServiceTag;

/// How many requests a target bears while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// The requests per second; above zero.
    pub per_second: u32,
}

/// The cold limit that a manifest states for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceColdLimit {
    /// The service.
    pub service: ServiceTag,
    /// The limit of each of its targets.
    pub limit: ColdLimit,
}
