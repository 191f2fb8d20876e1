//! Decides which agent and target gets each packet of a flow.
//!
//! The packets carry no route, and only the caller and the target hold the state
//! of a flow. A balancer ranks the targets of a service for each flow by
//! rendezvous hashing, so that every balancer finds the same order. The agent next
//! to a target delivers a packet to it; if the target bounces the packet, the agent
//! passes it on to the next candidate. The flow state that balancers and agents
//! keep only saves hops.

mod agent_flows;
mod agent_journal;
mod agent_openings;
mod agent_pace;
mod agent_step;
mod balancer_flows;
mod balancer_lookups;
mod balancer_openings;
mod cold_limiter;
mod delivery_ring;
mod failure_meter;
mod flow_info;
mod flow_journal;
mod flow_key;
mod flow_packet;
mod flow_report;
mod flow_verdict;
mod hop_frame;
mod known_targets;
mod link_admission;
mod long_flow;
mod opening_queue;
mod owner_cache;
mod owner_lookup;
mod pace_window;
mod packet_codec;
mod parked_packets;
mod pending_openings;
mod report_timer;
mod request_id;
mod request_progress;
mod route_profile;
mod running_mean;
mod service_meter;
mod target_figures;
mod target_health;
mod target_load;
mod target_ranking;
mod tracked_flow;

pub use flow_key::FlowKey;
pub use flow_packet::{FlowPacket, FlowReset, PacketFlags};
pub use packet_codec::{PacketCodec, PacketError};

pub(crate) use agent_flows::AgentFlows;
pub(crate) use agent_pace::HeldOpenings;
pub(crate) use agent_step::{AgentAction, AgentStep, DequeuedOpening, TargetLifecycle};
pub(crate) use balancer_flows::BalancerFlows;
pub(crate) use flow_info::{AgentFlowInfo, BalancerFlowInfo, FlowOwnerInfo};
pub(crate) use flow_journal::FlowJournal;
pub(crate) use flow_report::{FlowReport, ReportKind};
pub(crate) use flow_verdict::{FlowVerdict, RefusalCause, ReportAction};
pub(crate) use hop_frame::{HopFrame, HopHeader};
pub(crate) use known_targets::{KnownTargets, ServiceTargets, TargetIncarnation};
pub(crate) use long_flow::{LongFlow, LongFlowList};
pub(crate) use request_id::request_id;
pub(crate) use target_figures::TargetFigures;
pub(crate) use target_ranking::{RankedTarget, TargetRanking};

#[cfg(test)]
mod tests;
