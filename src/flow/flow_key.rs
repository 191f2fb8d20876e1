use std::{fmt, net::SocketAddrV4};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a flow by its caller and the listener that it was opened to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowKey {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The address and port of the listener.
    pub listener: SocketAddrV4,
}

impl FlowKey {
    /// Returns a hash of the flow that is the same in every process.
    #[must_use]
    pub fn stable_hash(self) -> u64 {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..8].copy_from_slice(&self.listener.ip().octets());
        bytes[8..10].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[10..].copy_from_slice(&self.listener.port().to_be_bytes());
        xxh3_64(&bytes)
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}>{}", self.caller, self.listener)
    }
}
