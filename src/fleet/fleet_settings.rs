use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::PathBuf,
};

use crate::clock::SpanMillis;

/// The ports that processes of the deployment use among themselves; they are
/// the same on every VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetPorts {
    /// UDP: announcements, discovery and reports.
    pub datagrams: u16,
    /// TCP: watchers of routes and targets.
    pub watch: u16,
    /// TCP: links between control replicas.
    pub links: u16,
    /// TCP: inspections by operators.
    pub inspections: u16,
}

impl FleetPorts {
    /// Takes the first ports of a range.
    #[must_use]
    pub const fn starting_at(first: u16) -> Self {
        Self {
            datagrams: first,
            watch: first + 1,
            links: first + 2,
            inspections: first + 3,
        }
    }
}

/// What every process of a deployment is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// The VM's name, for logs.
    pub name: String,
    /// The address at which others reach the VM.
    pub address: Ipv4Addr,
    /// The failure domain.
    pub domain: String,
    /// The ports among processes.
    pub ports: FleetPorts,
    /// VMs to ask first; the port is where they answer operators.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole deployment starts for the first time.
    pub bootstrap: bool,
    /// The folder of the control replica, on VMs with a disk.
    pub data_folder: Option<PathBuf>,
    /// How many control replicas may be lost at once.
    pub tolerated_losses: usize,
    /// Where packets arrive, from callers or from balancers.
    pub packet_address: SocketAddrV4,
    /// How long a stopping process may take.
    pub grace: SpanMillis,
    /// The age from which a flow may be forgotten.
    pub max_flow_age: SpanMillis,
}

impl FleetSettings {
    /// Returns the address that sockets listen at; it differs from the VM's
    /// address where something forwards to it.
    #[must_use]
    pub const fn listen_address(&self) -> Ipv4Addr {
        *self.packet_address.ip()
    }
}

/// What an agent is told besides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SideSettings {
    /// What every process is told.
    pub fleet: FleetSettings,
    /// The name of the target's service.
    pub service: String,
    /// Where the target takes packets.
    pub target: SocketAddrV4,
    /// Where the target sends its packets.
    pub outbound: SocketAddrV4,
    /// How often the target announces itself.
    pub heartbeat: SpanMillis,
}
