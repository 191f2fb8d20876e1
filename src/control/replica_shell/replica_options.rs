use std::{net::SocketAddrV4, path::PathBuf};

use crate::control::replica::{ReplicaId, ReplicaPeers};

/// Where another replica is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerAddress {
    /// The place in the group.
    pub(crate) replica: ReplicaId,
    /// Where it listens for other replicas.
    pub(crate) link: SocketAddrV4,
    /// Where it answers calls.
    pub(crate) calls: SocketAddrV4,
}

/// What a replica needs to start.
#[derive(Debug, Clone)]
pub(crate) struct ReplicaOptions {
    /// The own place in the group.
    pub(crate) own: ReplicaId,
    /// Where to listen for other replicas, if there are any.
    pub(crate) listen: Option<SocketAddrV4>,
    /// The other replicas.
    pub(crate) peers: Vec<PeerAddress>,
    /// The folder of the log.
    pub(crate) folder: PathBuf,
}

impl ReplicaOptions {
    /// Returns the places of the group.
    pub(crate) fn places(&self) -> ReplicaPeers {
        ReplicaPeers {
            own: self.own,
            others: self.peers.iter().map(|peer| peer.replica).collect(),
        }
    }
}
