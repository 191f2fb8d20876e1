use std::{fmt, net::SocketAddrV4};

use serde::{Deserialize, Serialize};

/// Identifies a target by the tunnel address of its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetKey(SocketAddrV4);

impl TargetKey {
    /// Wraps the tunnel address of an agent.
    #[must_use]
    pub const fn new(address: SocketAddrV4) -> Self {
        Self(address)
    }

    /// Returns the destination address of tunnel frames for this target.
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
