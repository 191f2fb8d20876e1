use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::FlowKey;
use crate::key::IncarnationId;

/// What an agent tells the balancer of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReportKind {
    /// The target answered for the flow.
    Held,
    /// The opening waits at this agent for a free slot of the target.
    Waiting,
    /// The target does not hold the flow, and nobody else was to be tried.
    NotHeld,
    /// No candidate could take the flow; the caller was told.
    Refused,
    /// The flow is gone for good; the caller was told.
    Gone,
}

/// News of a flow from an agent to the balancer that sent its packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FlowReport {
    /// The flow.
    pub(crate) flow: FlowKey,
    /// The agent that reports.
    pub(crate) agent: Ipv4Addr,
    /// The start of its target, if the target has announced itself.
    pub(crate) target: Option<IncarnationId>,
    /// The search that the packet belonged to, from its frame.
    pub(crate) walk: u32,
    /// What it knows.
    pub(crate) kind: ReportKind,
}
