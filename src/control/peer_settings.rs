use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// The settings entry of another replica of the control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The replica's number, unique in the group.
    pub replica: u8,
    /// The address on which it listens for other replicas.
    pub link: SocketAddrV4,
    /// The address on which it serves calls.
    pub calls: SocketAddrV4,
}
