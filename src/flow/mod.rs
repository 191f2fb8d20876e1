//! Flows of packets that carry no route: only the two ends know a flow.
//!
//! A balancer ranks the targets of a service for each flow by hashing, so that
//! any balancer finds the same order. The agent beside a target hands a packet
//! to it and, when the target bounces it, passes it on to the next candidate.
//! What a balancer or an agent remembers of a flow only saves hops.

mod agent_flows;
mod agent_openings;
mod agent_step;
mod balancer_flows;
mod balancer_walks;
mod flow_finding;
mod flow_key;
mod flow_packet;
mod flow_report;
mod flow_verdict;
mod flow_walk;
mod held_flow;
mod hop_frame;
mod known_targets;
mod opening_queue;
mod opening_watch;
mod owner_cache;
mod packet_codec;
mod parked_packets;
mod pass_ring;
mod request_mark;
mod target_health;
mod target_load;
mod target_ranking;

pub use flow_key::FlowKey;
pub use flow_packet::{FlowPacket, FlowReset, PacketSigns};
pub use packet_codec::{PacketCodec, PacketFault};

pub(crate) use agent_flows::AgentFlows;
pub(crate) use agent_step::{AgentAction, AgentStep, AgentTarget, WaitEnd};
pub(crate) use balancer_flows::BalancerFlows;
pub(crate) use flow_finding::{FlowFinding, FoundOwner, HeldFinding};
pub(crate) use flow_report::{FlowReport, ReportKind};
pub(crate) use flow_verdict::{FlowVerdict, RefusalCause, ReportStep};
pub(crate) use hop_frame::{HopFrame, HopHeader};
pub(crate) use known_targets::{KnownTargets, ServiceTargets, TargetStart};
pub(crate) use request_mark::request_id;
pub(crate) use target_ranking::{RankedTarget, TargetRanking};

#[cfg(test)]
mod tests;
