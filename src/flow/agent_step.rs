//! What an agent decides on a packet.

use std::{fmt, net::Ipv4Addr};

use super::{FlowKey, FlowReport, FlowReset, HopHeader};
use crate::clock::SpanMillis;

/// Whether the target takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AgentTarget {
    /// The agent has just started and has not heard of the target; it may hold
    /// flows and may take new ones.
    Unproved,
    /// It takes new flows.
    Serving,
    /// It keeps its flows and gets no new ones.
    Leaving,
    /// It has ended; its flows are gone.
    Ended,
    /// It sends nothing though it shares the agent's VM, where nothing can come
    /// between them: it has crashed, and its flows are gone.
    Lost,
}

/// What the shell does with the packet at hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AgentAction {
    /// Hand it to the target with this tag.
    Deliver {
        /// The tag to write into the packet.
        tag: u32,
    },
    /// Send it to the caller.
    Return,
    /// Send it to another agent.
    PassOn {
        /// The agent.
        to: Ipv4Addr,
        /// The frame's header.
        header: HopHeader,
    },
    /// Send a reset to the caller instead.
    Reset(FlowReset),
    /// Keep it until the target has a free slot.
    Wait,
    /// Drop it: nobody is known who may take it.
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

/// What to do with a packet, and what to tell the balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AgentStep {
    /// What becomes of the packet.
    pub(crate) action: AgentAction,
    /// The balancer and the report for it.
    pub(crate) report: Option<(Ipv4Addr, FlowReport)>,
}

/// The end of an opening's wait for a free slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WaitEnd {
    /// The opening's flow.
    pub(crate) flow: FlowKey,
    /// The opening as the caller sent it.
    pub(crate) packet: Vec<u8>,
    /// How long it waited.
    pub(crate) waited: SpanMillis,
    /// What becomes of it.
    pub(crate) step: AgentStep,
}

impl AgentStep {
    pub(super) const fn quiet(action: AgentAction) -> Self {
        Self {
            action,
            report: None,
        }
    }
}
