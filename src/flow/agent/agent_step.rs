//! Decisions of an agent on a packet.

use std::{fmt, net::Ipv4Addr};

use crate::{
    clock::SpanMillis,
    flow::{AgentReset, FlowKey, FlowReport, HopHeader},
};

/// The state of the target as its agent sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetLifecycle {
    /// The agent has just started and the target has not announced itself; it may
    /// hold flows and may accept new ones.
    Unproved,
    /// The target accepts new flows.
    Serving,
    /// The target keeps its flows and gets no new ones.
    Leaving,
    /// The target has ended; its flows are lost.
    Ended,
    /// The target has crashed and its flows are lost: it sends nothing although it
    /// runs on the agent's VM, where no network fault can separate them.
    Lost,
}

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AgentAction {
    /// Deliver it to the target.
    Deliver {
        /// The tag to write into the packet; a bounced packet returns it.
        tag: u32,
    },
    /// Send it to the caller.
    Return,
    /// Pass it on to another agent.
    PassOn {
        /// The agent.
        to: Ipv4Addr,
        /// The frame's header.
        header: HopHeader,
    },
    /// Discard it and send a reset to the caller.
    Reset(AgentReset),
    /// Queue it until the target has a free slot.
    Wait,
    /// Drop it: no agent is left that may take it.
    Drop,
}

impl fmt::Display for AgentAction {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deliver { .. } => formatter.write_str("delivered"),
            Self::Return => formatter.write_str("returned"),
            Self::PassOn { to, .. } => write!(formatter, "passed on to {to}"),
            Self::Reset(_) => formatter.write_str("reset"),
            Self::Wait => formatter.write_str("waits"),
            Self::Drop => formatter.write_str("dropped"),
        }
    }
}

/// What to do with a packet and what to report to the balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AgentStep {
    pub(crate) action: AgentAction,
    /// The balancer and the report to send to it.
    pub(crate) report: Option<(Ipv4Addr, FlowReport)>,
}

/// An opening that left the queue, to be delivered or refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DequeuedOpening {
    pub(crate) flow: FlowKey,
    /// The packet as the caller sent it.
    pub(crate) packet: Vec<u8>,
    /// How long it was queued.
    pub(crate) waited: SpanMillis,
    /// What to do with it.
    pub(crate) step: AgentStep,
}

impl AgentStep {
    /// Creates a step that reports nothing.
    pub(super) const fn without_report(action: AgentAction) -> Self {
        Self {
            action,
            report: None,
        }
    }
}
