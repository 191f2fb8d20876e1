use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use crate::{key::IncarnationId, listener::ServiceTag};

/// Whether a target accepts new flows, as announced by its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TargetStatus {
    /// It accepts new flows but is still slow after its start.
    Warming,
    /// It accepts new flows.
    Serving,
    /// It keeps its flows and accepts no new ones.
    Leaving,
    /// It or its agent has not answered for a while; it may hold flows.
    Silent,
    /// It has ended and holds no flows.
    Ended,
}

/// An agent's announcement of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TargetRecord {
    /// The agent's address, which is the key of the record.
    pub(crate) agent: Ipv4Addr,
    /// The service.
    pub(crate) service: ServiceTag,
    /// A random number that identifies this run of the agent.
    pub(crate) agent_run: u64,
    /// The number of the announcement within this run, to detect late ones.
    pub(crate) sequence: u64,
    /// The incarnation of the target; `None` before it announces itself.
    #[serde(rename = "target")]
    pub(crate) incarnation: Option<IncarnationId>,
    /// Whether the target accepts new flows.
    #[serde(rename = "standing")]
    pub(crate) status: TargetStatus,
}

impl TargetRecord {
    /// Returns whether another record of the same agent differs only in its run or
    /// sequence number.
    pub(crate) fn has_same_state(&self, other: &Self) -> bool {
        (self.service, self.incarnation, self.status)
            == (other.service, other.incarnation, other.status)
    }
}
