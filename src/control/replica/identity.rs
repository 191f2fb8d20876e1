use std::{fmt, net::Ipv4Addr};

use serde::{Deserialize, Serialize};

/// The number of a replica's place in the control group.
///
/// It comes from the settings, or is the IPv4 address where places are found by
/// discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct ReplicaId(u32);

impl ReplicaId {
    /// Wraps the number from the settings.
    pub(crate) const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Names the place at an address.
    pub(crate) const fn at(address: Ipv4Addr) -> Self {
        Self(address.to_bits())
    }

    /// Returns the address that names the place.
    pub(crate) const fn address(self) -> Ipv4Addr {
        Ipv4Addr::from_bits(self.0)
    }

    /// Returns the plain number.
    #[cfg(test)]
    pub(crate) const fn number(self) -> u32 {
        self.0
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Numbers from settings are below 256, addresses above.
        match u8::try_from(self.0) {
            Ok(number) => write!(formatter, "{number}"),
            Err(_) => write!(formatter, "{}", self.address()),
        }
    }
}

/// A random number that names one data folder; votes are counted by it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct DiskId(u128);

impl DiskId {
    /// Wraps a number drawn elsewhere.
    pub(crate) const fn new(number: u128) -> Self {
        Self(number)
    }
}

impl fmt::Display for DiskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl fmt::Debug for DiskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "DiskId({self})")
    }
}

/// A random number that names one control group from its formation on.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct GroupId(u128);

impl GroupId {
    /// Wraps a number drawn elsewhere.
    pub(crate) const fn new(number: u128) -> Self {
        Self(number)
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl fmt::Debug for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "GroupId({self})")
    }
}

/// A replica together with the data folder that it runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct MemberId {
    /// The place in the group.
    pub(crate) replica: ReplicaId,
    /// The data folder that votes and acknowledges.
    pub(crate) disk: DiskId,
}
