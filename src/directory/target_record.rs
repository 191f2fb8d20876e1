use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::TargetAttributes;
use crate::{
    key::{IncarnationId, is_vm_address},
    listener::ServiceTag,
};

/// By how many announcements the directories of two replicas may be apart: one that has
/// not heard an agent for ten seconds, at ten announcements a second, drops it.
const MAX_SEQUENCE_LAG: u64 = 100;
/// The share of requests that can fail, in thousandths.
const MAX_FAILURES_PERMILLE: u16 = 1_000;

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

impl TargetStatus {
    /// Returns whether a target with this status accepts new flows.
    pub(crate) fn accepts_flows(self) -> bool {
        match self {
            Self::Warming | Self::Serving => true,
            Self::Leaving | Self::Silent | Self::Ended => false,
        }
    }
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
    /// What else the agent announces of the target.
    #[serde(skip)]
    pub(crate) attributes: TargetAttributes,
}

impl TargetRecord {
    /// Returns whether another record of the same agent differs only in its run or
    /// sequence number.
    pub(crate) fn has_same_state(&self, other: &Self) -> bool {
        self.has_same_status(other) && self.attributes == other.attributes
    }

    /// Returns whether another record of the same agent differs only in its
    /// attributes, and in its run or sequence number.
    pub(crate) fn has_same_status(&self, other: &Self) -> bool {
        let status = |record: &Self| (record.service, record.incarnation, record.status);
        status(self) == status(other)
    }

    /// Returns this announcement with what `old`, the agent's last one, tells of the
    /// target. An agent that has restarted does not know that its target has left
    /// until the target announces itself again.
    pub(crate) fn after_restart_of(mut self, old: &Self) -> Self {
        let has_left = matches!(old.status, TargetStatus::Leaving | TargetStatus::Ended);
        if has_left && self.incarnation.is_none() && self.service == old.service {
            self.status = old.status;
            self.incarnation = old.incarnation;
        }
        self
    }

    /// Returns whether this record is older than `other`, of the same run of the
    /// agent. One that is older by more announcements than directories may be apart shows
    /// that the number of the other one is wrong.
    pub(crate) fn is_older_than(&self, other: &Self) -> bool {
        self.agent_run == other.agent_run
            && self.sequence < other.sequence
            && other.sequence - self.sequence <= MAX_SEQUENCE_LAG
    }

    /// Returns whether the agent can have announced this: its address is one of a VM and
    /// its figures are within their ranges.
    pub(crate) fn is_possible(&self) -> bool {
        is_vm_address(self.agent) && self.attributes.failures <= MAX_FAILURES_PERMILLE
    }
}
