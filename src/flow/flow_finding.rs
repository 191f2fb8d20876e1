use std::net::Ipv4Addr;

use serde::Serialize;

use crate::{clock::SpanMillis, key::IncarnationId, listener::ServiceTag};

/// What a balancer knows of a flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct FlowFinding {
    /// The service that the flow's route names, none without a route.
    pub(crate) service: Option<ServiceTag>,
    /// Who holds the flow, if that is remembered.
    pub(crate) owner: Option<FoundOwner>,
    /// The agents that an opening would be offered to, in this order.
    pub(crate) ranked: Vec<Ipv4Addr>,
}

/// Who holds a flow, as far as a balancer remembers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct FoundOwner {
    /// The agent beside the flow's target.
    pub(crate) agent: Ipv4Addr,
    /// Whether the agent has said so.
    pub(crate) confirmed: bool,
    /// The start of the target, if the agent knew it.
    pub(crate) target: Option<IncarnationId>,
    /// The time since the last packet in milliseconds.
    pub(crate) idle: SpanMillis,
    /// Whether that target is known to be gone.
    pub(crate) gone: bool,
}

/// What an agent knows of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct HeldFinding {
    /// The balancer that sent the flow's last packet.
    pub(crate) balancer: Ipv4Addr,
    /// Whether that balancer was told that the target answers.
    pub(crate) reported: bool,
    /// Whether the target has sent more than the answer to the opening.
    pub(crate) established: bool,
    /// The time since the last packet in milliseconds.
    pub(crate) idle: SpanMillis,
}
