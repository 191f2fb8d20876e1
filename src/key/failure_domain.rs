use std::fmt;

use serde::{Deserialize, Serialize};

/// The region and failure domain that a process runs in.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// The region, such as `vestland`.
    pub region: String,
    /// The failure domain within the region, such as `fjord-a`.
    pub failure_domain: String,
}

impl FailureDomain {
    /// Creates a failure domain of a region.
    #[must_use]
    pub fn new(region: &str, failure_domain: &str) -> Self {
        Self {
            region: region.to_owned(),
            failure_domain: failure_domain.to_owned(),
        }
    }
}

impl fmt::Display for FailureDomain {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.region, self.failure_domain)
    }
}
