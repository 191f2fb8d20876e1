//! Flows that are open for long, as their agents tell the control replicas.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::FlowKey;
use crate::key::IncarnationId;

/// A flow that has been open for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LongFlow {
    pub(crate) flow: FlowKey,
    /// The sequence number that the caller had acknowledged when the agent last told
    /// of the flow; a reset has to be near it.
    pub(crate) acknowledged: u32,
}

/// Long flows of one target, from its agent to a control replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LongFlowList {
    pub(crate) agent: Ipv4Addr,
    /// The incarnation of the target, which alone holds the flows.
    pub(crate) incarnation: IncarnationId,
    pub(crate) flows: Vec<LongFlow>,
}
