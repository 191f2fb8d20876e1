use std::{net::SocketAddrV4, path::PathBuf};

use crate::control::replica::{DiskId, GroupAdmission, ReplicaId, ReplicaPeers};

/// The addresses of another replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerAddress {
    pub(crate) replica: ReplicaId,
    /// Its address for peer connections.
    pub(crate) link_address: SocketAddrV4,
    /// Its address for calls.
    pub(crate) call_address: SocketAddrV4,
}

/// The ports of replicas that are identified by their address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerPorts {
    /// The port for peer connections.
    pub(crate) link_port: u16,
    /// The port for calls.
    pub(crate) call_port: u16,
}

/// Where a replica keeps its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReplicaStorage {
    /// In a data folder.
    Folder(PathBuf),
    /// In memory, under an identity that ends with the process.
    Memory(DiskId),
}

/// What a replica does when its disk fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DiskFaultPolicy {
    /// Stop; an operator has to intervene.
    Stop,
    /// Retry until the write succeeds, and acknowledge nothing until then. A damaged
    /// data folder is deleted, as if the disk were lost.
    Retry,
}

/// The configuration of a replica.
#[derive(Debug, Clone)]
pub(crate) struct ReplicaOptions {
    /// This replica.
    pub(crate) own: ReplicaId,
    /// Address to listen on for peer connections, if there are other replicas.
    pub(crate) listen: Option<SocketAddrV4>,
    /// The other replicas.
    pub(crate) peers: Vec<PeerAddress>,
    /// The ports of unlisted replicas, if replicas are identified by their address.
    pub(crate) ports: Option<PeerPorts>,
    pub(crate) storage: ReplicaStorage,
    /// Which replicas may form and join the group.
    pub(crate) admission: GroupAdmission,
    pub(crate) disk_fault_policy: DiskFaultPolicy,
}

impl ReplicaOptions {
    /// Returns this replica and its peers for the core.
    pub(crate) fn replica_peers(&self) -> ReplicaPeers {
        ReplicaPeers {
            own: self.own,
            others: self.peers.iter().map(|peer| peer.replica).collect(),
            admission: self.admission,
        }
    }
}
