use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// A random number that identifies one run of an agent and is never reused.
///
/// Text formats hold it as sixteen hexadecimal digits, binary formats as a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId(u64);

impl IncarnationId {
    /// Wraps an existing number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Generates a random incarnation.
    #[must_use]
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Returns all 64 bits.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }

    /// Returns the low 16 bits, which connection IDs carry.
    #[must_use]
    pub const fn tag(self) -> u16 {
        let bytes = self.0.to_le_bytes();
        u16::from_le_bytes([bytes[0], bytes[1]])
    }
}

impl fmt::Display for IncarnationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl std::str::FromStr for IncarnationId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Serialises an incarnation as text, since JSON numbers lose precision above 2^53.
#[serde_as]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
struct IncarnationText(#[serde_as(as = "DisplayFromStr")] IncarnationId);

impl Serialize for IncarnationId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            IncarnationText(*self).serialize(serializer)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for IncarnationId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            IncarnationText::deserialize(deserializer).map(|text| text.0)
        } else {
            u64::deserialize(deserializer).map(Self)
        }
    }
}
