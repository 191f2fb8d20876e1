use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use crate::{key::IncarnationId, listener::ServiceTag};

/// Whether a target takes new flows, as its agent announces it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TargetStanding {
    /// It takes new flows, but works slowly since it has just started.
    Warming,
    /// It takes new flows.
    Serving,
    /// It keeps its flows and takes no new ones.
    Leaving,
    /// Its agent has not been heard for a while; it may hold flows.
    Silent,
    /// It has ended and holds nothing.
    Ended,
}

/// What an agent announces of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TargetRecord {
    /// The agent's address, which names the record.
    pub(crate) agent: Ipv4Addr,
    /// The service.
    pub(crate) service: ServiceTag,
    /// A random number that names this run of the agent.
    pub(crate) agent_run: u64,
    /// Counts the announcements of this run, so that a late one is known.
    pub(crate) sequence: u64,
    /// Names the start of the target; none before it announced itself.
    pub(crate) target: Option<IncarnationId>,
    /// Whether the target takes new flows.
    pub(crate) standing: TargetStanding,
}

impl TargetRecord {
    /// Returns whether the other record of the same agent tells nothing new.
    pub(crate) fn is_like(&self, other: &Self) -> bool {
        (self.service, self.target, self.standing) == (other.service, other.target, other.standing)
    }
}
