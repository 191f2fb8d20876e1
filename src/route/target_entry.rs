use std::net::SocketAddrV4;

use super::{TargetPhase, TargetRoute};
use crate::key::{IncarnationId, TargetKey};

/// What the table keeps of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetEntry {
    /// The agent's tunnel address.
    pub key: TargetKey,
    /// The run of the agent that registered.
    pub incarnation: IncarnationId,
    /// The address at which the agent answers other agents.
    pub peer_address: SocketAddrV4,
    /// The share of new connections.
    pub weight: u16,
    /// Whether the target takes new work.
    pub phase: TargetPhase,
}

impl TargetEntry {
    /// Takes over what balancers need of a registration.
    #[must_use]
    pub fn new(route: &TargetRoute) -> Self {
        Self {
            key: route.key,
            incarnation: route.incarnation,
            peer_address: route.peer_address,
            weight: route.weight.max(1),
            phase: route.phase,
        }
    }

    /// Returns the weight in the choice for a new connection.
    #[must_use]
    pub fn share(&self) -> u32 {
        match self.phase {
            TargetPhase::Warming | TargetPhase::Serving => u32::from(self.weight),
            TargetPhase::Leaving => 0,
        }
    }
}
