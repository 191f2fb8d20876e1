use std::fmt;

use serde::{Deserialize, Serialize};

/// Where a process runs: its region and its failure domain within it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainName {
    /// The region, such as `vestland`.
    pub region: String,
    /// The failure domain, such as `fjord-a`.
    pub failure_domain: String,
}

impl DomainName {
    /// Names a failure domain of a region.
    #[must_use]
    pub fn new(region: &str, failure_domain: &str) -> Self {
        Self {
            region: region.to_owned(),
            failure_domain: failure_domain.to_owned(),
        }
    }
}

impl fmt::Display for DomainName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.region, self.failure_domain)
    }
}
