//! What a balancer decides on a packet or a report.

use std::net::Ipv4Addr;

use super::{FlowReset, HopHeader};

/// What a balancer does with a packet of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FlowVerdict {
    /// Send it to an agent.
    Forward {
        /// The agent.
        to: Ipv4Addr,
        /// The frame's header.
        header: HopHeader,
    },
    /// Answer with a reset: the flow can't be served.
    Reset(FlowReset, RefusalCause),
    /// Keep it until more is known; it is decided on again then.
    Park(RefusalCause),
}

/// Why a packet is not forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RefusalCause {
    /// No route has its address and port.
    NoRoute,
    /// No target of the route's service is known.
    NoTarget,
    /// The routes or the targets are not known yet.
    NotReady,
    /// The target that held the flow is gone.
    TargetGone,
}

/// What is to be sent after an agent's report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReportStep {
    /// Nothing.
    Nothing,
    /// The packet to the next agents that may hold the flow.
    Forward {
        /// The packet.
        packet: Vec<u8>,
        /// The first of the agents.
        to: Ipv4Addr,
        /// The frame's header.
        header: HopHeader,
    },
    /// A reset: no target holds the flow.
    Reset(FlowReset),
}
