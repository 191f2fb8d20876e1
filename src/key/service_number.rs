use std::fmt;

use serde::{Deserialize, Serialize};

/// The number that control assigned to a service when it was first accepted.
///
/// Connection IDs and tunnel headers carry it in place of the name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceNumber(u16);

impl ServiceNumber {
    /// Wraps an assigned number.
    #[must_use]
    pub const fn new(number: u16) -> Self {
        Self(number)
    }

    /// Returns the number as an integer.
    #[must_use]
    pub const fn number(self) -> u16 {
        self.0
    }
}

impl fmt::Display for ServiceNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "#{}", self.0)
    }
}
