use serde::{Deserialize, Serialize};

use crate::{key::ServiceNumber, manifest::ServiceSpec};

/// A service of the manifest in force, with its number on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRoute {
    /// The number that connection IDs and tunnel frames carry.
    pub number: ServiceNumber,
    /// The service's specification in the manifest.
    pub spec: ServiceSpec,
}
