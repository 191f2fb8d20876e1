use std::net::SocketAddrV4;

use super::{TargetPhase, TargetRoute};
use crate::key::{IncarnationId, TargetKey};

/// A target as stored in the route table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetEntry {
    /// The agent's tunnel address.
    pub key: TargetKey,
    /// The incarnation of the agent that registered.
    pub incarnation: IncarnationId,
    /// The address at which other agents reach this agent.
    pub peer_address: SocketAddrV4,
    /// The weight for new connections; at least 1.
    pub weight: u16,
    /// Whether the target accepts new work.
    pub phase: TargetPhase,
}

impl TargetEntry {
    /// Creates the entry of a registered target.
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

    /// Returns the weight for new connections; 0 if the target is leaving.
    #[must_use]
    pub fn effective_weight(&self) -> u32 {
        match self.phase {
            TargetPhase::Warming | TargetPhase::Serving => u32::from(self.weight),
            TargetPhase::Leaving => 0,
        }
    }
}
