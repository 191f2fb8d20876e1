use std::net::Ipv4Addr;

use serde::Serialize;

use crate::{clock::SpanMillis, key::IncarnationId, listener::ServiceTag};

/// State of a flow at a balancer, for inspection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct BalancerFlowInfo {
    /// The service for new flows of the route, `None` without a route.
    pub(crate) service: Option<ServiceTag>,
    /// The owner of the flow, if it is cached.
    pub(crate) owner: Option<FlowOwnerInfo>,
    /// The candidates for an opening of the flow, best first.
    pub(crate) ranked: Vec<Ipv4Addr>,
}

/// The cached owner of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct FlowOwnerInfo {
    /// The agent next to the flow's target.
    pub(crate) agent: Ipv4Addr,
    /// Whether the agent reported that it holds the flow.
    pub(crate) confirmed: bool,
    /// The incarnation of the target, if the agent knew it.
    #[serde(rename = "target")]
    pub(crate) incarnation: Option<IncarnationId>,
    /// The time since the last packet, in milliseconds.
    pub(crate) idle: SpanMillis,
    /// Whether that incarnation of the target has ended.
    pub(crate) gone: bool,
}

/// State of a flow at an agent, for inspection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct AgentFlowInfo {
    /// The balancer that sent the flow's last packet.
    pub(crate) balancer: Ipv4Addr,
    /// Whether the flow was reported to that balancer as held.
    pub(crate) reported: bool,
    /// Whether the target has sent more than the answer to the opening.
    pub(crate) established: bool,
    /// The time since the last packet, in milliseconds.
    pub(crate) idle: SpanMillis,
}
