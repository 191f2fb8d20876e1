use std::fmt;

use serde::{Deserialize, Serialize};

/// A revision of the control state: the number of committed changes, which never decreases.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FeedRevision(u64);

impl FeedRevision {
    /// The revision before the first change.
    pub const EMPTY: Self = Self(0);

    /// Wraps a count of changes.
    #[must_use]
    pub const fn new(count: u64) -> Self {
        Self(count)
    }

    /// Returns the count of changes.
    #[must_use]
    pub const fn count(self) -> u64 {
        self.0
    }

    /// Returns the revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for FeedRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "r{}", self.0)
    }
}
