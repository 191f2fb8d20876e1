use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::FlowKey;
use crate::key::IncarnationId;

/// What an agent reports about a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReportKind {
    /// The target answers for the flow.
    Held,
    /// The opening is queued at this agent for a free slot of the target.
    Waiting,
    /// The target does not hold the flow, and no candidate is left.
    NotHeld,
    /// No candidate could take the flow; the caller got a reset.
    Refused,
    /// The flow is lost; the caller got a reset.
    Gone,
}

/// A report on a flow from an agent to the balancer that sent its packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FlowReport {
    pub(crate) flow: FlowKey,
    /// The agent that reports.
    pub(crate) agent: Ipv4Addr,
    /// The incarnation of its target, if the target has announced itself.
    pub(crate) incarnation: Option<IncarnationId>,
    /// The round of the owner lookup from the packet's frame, zero without one.
    #[serde(rename = "walk")]
    pub(crate) lookup_id: u32,
    pub(crate) kind: ReportKind,
}
