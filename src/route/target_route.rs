use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::key::{FailureDomain, IncarnationId, ServiceNumber, TargetKey};

/// A registered target, as control sends it to balancers and agents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRoute {
    /// The agent's tunnel address.
    pub key: TargetKey,
    /// The service that the target belongs to.
    pub service: ServiceNumber,
    /// The incarnation of the agent that registered.
    pub incarnation: IncarnationId,
    /// The region and failure domain that the target runs in.
    pub domain: FailureDomain,
    /// The address at which other agents reach this agent.
    pub peer_address: SocketAddrV4,
    /// The weight for new connections, relative to other targets; at least 1.
    pub weight: u16,
    /// Whether the target accepts new work.
    pub phase: TargetPhase,
}

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// Started recently; accepts a growing share of new work.
    Warming,
    /// Accepts its full share of new work.
    Serving,
    /// Finishes its current work and accepts no new work.
    Leaving,
}
