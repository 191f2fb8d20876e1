use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::PathBuf,
};

use crate::clock::SpanMillis;

/// The ports for traffic between processes; they are the same on every VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetPorts {
    /// UDP: announcements, discovery and flow reports.
    pub datagrams: u16,
    /// TCP: the feed of routes and targets.
    pub watch: u16,
    /// TCP: links between control replicas.
    pub links: u16,
    /// TCP: inspections by operators.
    pub inspections: u16,
}

impl FleetPorts {
    /// Assigns four consecutive ports from `first` on.
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

/// The settings that entry and side processes share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// The VM's name, for logs.
    pub name: String,
    /// The address at which other VMs reach this one.
    pub address: Ipv4Addr,
    /// The failure domain.
    pub domain: String,
    /// The names of all failure domains, which operators may evacuate.
    pub domains: Vec<String>,
    /// The ports for traffic between processes.
    pub ports: FleetPorts,
    /// The VMs to contact for discovery; the port is the one for operators.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the deployment starts for the first time, so that a seed may found
    /// the control group.
    pub bootstrap: bool,
    /// The data folder of the control replica, on VMs with a disk.
    pub data_folder: Option<PathBuf>,
    /// How many control replicas may fail at once.
    pub tolerated_losses: usize,
    /// The address that receives packets: from callers on an entry VM, from
    /// balancers and agents beside a target.
    pub packet_address: SocketAddrV4,
    /// The rate of the VM's link in bytes a second, if it is known.
    pub link_rate: Option<u64>,
    /// How long a stopping process may take.
    pub grace: SpanMillis,
    /// The age from which the state of a flow may be dropped.
    pub max_flow_age: SpanMillis,
}

impl FleetSettings {
    /// Returns the address that sockets bind to; it differs from the VM's address
    /// if a proxy forwards to this process.
    #[must_use]
    pub const fn listen_address(&self) -> Ipv4Addr {
        *self.packet_address.ip()
    }

    /// Returns the address for the feed of routes and targets.
    pub(crate) const fn watch_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.listen_address(), self.ports.watch)
    }
}

/// The settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SideSettings {
    /// The settings shared with entry processes.
    pub fleet: FleetSettings,
    /// The name of the target's service.
    pub service: String,
    /// The address at which the target receives packets.
    pub target: SocketAddrV4,
    /// The agent's address to which the target sends its packets.
    pub outbound: SocketAddrV4,
    /// The interval of the target's announcements.
    pub heartbeat: SpanMillis,
}
