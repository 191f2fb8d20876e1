//! Decisions of a balancer on a packet or a report.

use std::net::Ipv4Addr;

use crate::{
    flow::{FlowReset, HopHeader, UnheldFlow},
    key::IncarnationId,
};

/// What a balancer does with a caller's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FlowVerdict {
    /// Send it to an agent.
    Forward {
        /// The agent.
        to: Ipv4Addr,
        /// The frame's header.
        header: HopHeader,
    },
    /// Answer it with a reset: the flow can't be served.
    Reset(FlowReset, RefusalCause),
    /// It is an opening that waits for its turn on this VM's link.
    Wait,
    /// Hold it until routes and targets are known, then decide again.
    Park(RefusalCause),
}

/// Why a packet is not forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RefusalCause {
    /// No route has the packet's destination address and port.
    NoRoute,
    /// No target is known that could take the packet.
    NoTarget,
    /// Routes or targets are not known yet or may be outdated.
    NotReady,
    /// Which target holds the flow is being looked up.
    OwnerUnknown,
    /// This VM's link can't carry the flow's request in time.
    LinkFull,
    /// The incarnation of the target that held the flow has ended.
    TargetGone(GoneTarget),
}

impl RefusalCause {
    /// Returns the name of the cause for log lines.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "NoRoute",
            Self::NoTarget => "NoTarget",
            Self::NotReady => "NotReady",
            Self::OwnerUnknown => "OwnerUnknown",
            Self::LinkFull => "LinkFull",
            Self::TargetGone(_) => "TargetGone",
        }
    }

    /// Returns the target that has ended, if that is the cause.
    pub(crate) const fn gone_target(self) -> Option<GoneTarget> {
        match self {
            Self::TargetGone(target) => Some(target),
            Self::NoRoute
            | Self::NoTarget
            | Self::NotReady
            | Self::OwnerUnknown
            | Self::LinkFull => None,
        }
    }
}

/// The incarnation of a target that held a flow and has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct GoneTarget {
    pub(crate) agent: Ipv4Addr,
    pub(crate) incarnation: Option<IncarnationId>,
}

/// What a balancer sends in response to an agent's report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReportAction {
    /// Nothing.
    Nothing,
    /// Send the packet to the next agents that may hold the flow, along several
    /// chains at once.
    Forward {
        /// The packet.
        packet: Vec<u8>,
        /// The first agent of each chain, with the frame's header.
        hops: Vec<(Ipv4Addr, HopHeader)>,
    },
    /// Reset the flow: no target holds it.
    Reset(UnheldFlow),
}
