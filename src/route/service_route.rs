use serde::{Deserialize, Serialize};

use crate::{key::ServiceNumber, manifest::ServiceSpec};

/// A service of the manifest in force, with the number it goes by.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRoute {
    /// The number that packets carry.
    pub number: ServiceNumber,
    /// What the manifest says of the service.
    pub spec: ServiceSpec,
}
