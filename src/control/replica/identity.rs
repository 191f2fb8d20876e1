use std::{fmt, net::Ipv4Addr};

use serde::{Deserialize, Serialize};

/// Identifies a replica of the control group, whatever data folder it uses.
///
/// It is a number from the settings, or the replica's IPv4 address when replicas
/// are found by discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct ReplicaId(u32);

impl ReplicaId {
    /// Creates an identifier from the number in the settings.
    pub(crate) const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Creates the identifier of the replica at an address.
    pub(crate) const fn at(address: Ipv4Addr) -> Self {
        Self(address.to_bits())
    }

    /// Returns the address of a replica that was found by discovery.
    pub(crate) const fn address(self) -> Ipv4Addr {
        Ipv4Addr::from_bits(self.0)
    }

    #[cfg(test)]
    pub(crate) const fn number(self) -> u32 {
        self.0
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Numbers from settings are below 256, addresses are not.
        match u8::try_from(self.0) {
            Ok(number) => write!(formatter, "{number}"),
            Err(_) => write!(formatter, "{}", self.address()),
        }
    }
}

/// Random identifier of a data folder. Votes and acknowledgements are counted
/// per data folder, not per replica.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct DiskId(u128);

impl DiskId {
    /// Creates an identifier from a random number.
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

/// Random identifier of a control group, drawn when the group is formed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct GroupId(u128);

impl GroupId {
    /// Creates an identifier from a random number.
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

/// Identifies a member of the group: a replica on one data folder.
///
/// A replica that lost its data folder comes back as another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct MemberId {
    /// The replica.
    pub(crate) replica: ReplicaId,
    /// Its data folder.
    pub(crate) disk: DiskId,
}
