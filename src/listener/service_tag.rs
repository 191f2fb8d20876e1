use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a service in frames by a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceTag(u64);

impl ServiceTag {
    /// Returns the tag of the service `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// Creates a tag from its number in a frame.
    #[must_use]
    pub(crate) const fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the tag for a frame.
    #[must_use]
    pub(crate) const fn number(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for ServiceTag {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
