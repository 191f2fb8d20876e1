use std::{net::SocketAddrV4, path::PathBuf};

use crate::control::replica::{GroupAdmission, ReplicaId, ReplicaPeers};

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

/// The ports of replicas whose places are addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerPorts {
    /// Where each listens for other replicas.
    pub(crate) link: u16,
    /// Where each answers calls.
    pub(crate) calls: u16,
}

/// What a replica does when its disk refuses a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DiskFaultPolicy {
    /// It stops; an operator looks after it.
    Stop,
    /// It tries again until the disk takes the write, and acknowledges nothing
    /// meanwhile. A damaged folder counts as a lost disk.
    Retry,
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
    /// The ports of replicas that are not listed, where places are addresses.
    pub(crate) ports: Option<PeerPorts>,
    /// The folder of the log.
    pub(crate) folder: PathBuf,
    /// Who may join the group, and who may form it.
    pub(crate) admission: GroupAdmission,
    /// What to do when the disk refuses a write.
    pub(crate) disk_faults: DiskFaultPolicy,
}

impl ReplicaOptions {
    /// Returns the places of the group.
    pub(crate) fn places(&self) -> ReplicaPeers {
        ReplicaPeers {
            own: self.own,
            others: self.peers.iter().map(|peer| peer.replica).collect(),
            admission: self.admission,
        }
    }
}
