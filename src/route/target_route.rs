use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::key::{DomainName, IncarnationId, ServiceNumber, TargetKey};

/// A registered target, as control tells balancers and agents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRoute {
    /// The agent's tunnel address.
    pub key: TargetKey,
    /// The service that the target belongs to.
    pub service: ServiceNumber,
    /// The run of the agent that registered.
    pub incarnation: IncarnationId,
    /// Where the target runs.
    pub domain: DomainName,
    /// The address at which the agent answers other agents.
    pub peer_address: SocketAddrV4,
    /// The share of new connections, relative to other targets; at least 1.
    pub weight: u16,
    /// Whether the target takes new work.
    pub phase: TargetPhase,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// Started a short while ago; takes a growing share.
    Warming,
    /// Takes its full share.
    Serving,
    /// Finishes what it has and takes nothing new.
    Leaving,
}
