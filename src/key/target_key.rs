use std::{fmt, net::SocketAddrV4};

use serde::{Deserialize, Serialize};

/// The tunnel address of the agent beside a target; it names the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetKey(SocketAddrV4);

impl TargetKey {
    /// Wraps the address that an agent announced.
    #[must_use]
    pub const fn new(address: SocketAddrV4) -> Self {
        Self(address)
    }

    /// Returns the address that tunnel frames for this target go to.
    #[must_use]
    pub const fn address(self) -> SocketAddrV4 {
        self.0
    }
}

impl fmt::Display for TargetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
