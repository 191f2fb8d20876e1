//! Decides which agent and target gets each packet of a flow.
//!
//! The packets carry no route, and only the caller and the target hold the state
//! of a flow. A balancer ranks the targets of a service for each flow by
//! rendezvous hashing, so that every balancer finds the same order. The agent next
//! to a target delivers a packet to it; if the target bounces the packet, the agent
//! passes it on to the next candidate. The flow state that balancers and agents
//! keep only saves hops.
//!
//! `balancer` and `agent` hold the two halves; what they exchange, and the journal of long
//! flows that control replicas keep, is beside them.

mod agent;
mod balancer;
mod flow_info;
mod flow_journal;
mod flow_key;
mod flow_packet;
mod flow_report;
mod hop_frame;
mod long_flow;
mod packet_codec;
mod pending_openings;
mod request_id;
mod reset_cause;

pub use flow_key::FlowKey;
pub use flow_packet::{FlowPacket, FlowReset, PacketFlags};
pub use packet_codec::{PacketCodec, PacketError};

pub(crate) use agent::{
    AgentAction, AgentFlows, AgentStep, DequeuedOpening, HeldOpenings, TargetFigures,
    TargetLifecycle,
};
pub(crate) use balancer::{
    BalancerFlows, FlowVerdict, KnownTargets, RankedTarget, RefusalCause, ReportAction,
    ServiceTargets, TargetIncarnation, TargetRanking,
};
pub(crate) use flow_info::{AgentFlowInfo, BalancerFlowInfo, FlowOwnerInfo};
pub(crate) use flow_journal::FlowJournal;
pub(crate) use flow_packet::FULL_PACKET_BYTES;
pub(crate) use flow_report::{FlowReport, ReportKind};
pub(crate) use hop_frame::{HopFrame, HopHeader};
pub(crate) use long_flow::{LongFlow, LongFlowList};
pub(crate) use request_id::request_id;
pub(crate) use reset_cause::{AgentReset, LookupProgress, ResetCause, UnheldFlow};

#[cfg(test)]
mod tests;
