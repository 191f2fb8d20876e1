use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// The settings entry of another replica of the control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The replica's number, unique in the group.
    pub replica: u8,
    /// The address on which it listens for other replicas.
    #[serde(rename = "link")]
    pub link_address: SocketAddrV4,
    /// The address on which it serves calls.
    #[serde(rename = "calls")]
    pub call_address: SocketAddrV4,
}
