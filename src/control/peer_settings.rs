use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// Another replica of the control group, as the settings list it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The replica's place in the group.
    pub replica: u8,
    /// Where it listens for other replicas.
    pub link: SocketAddrV4,
    /// Where it answers calls.
    pub calls: SocketAddrV4,
}
