//! The part of the balancer: ranks targets, finds the owners of flows, and admits
//! large requests to the link.

mod balancer_flows;
mod balancer_lookups;
mod balancer_openings;
mod flow_verdict;
mod heard_agents;
mod known_targets;
pub(super) mod link_admission;
mod owner_cache;
mod owner_lookup;
mod parked_packets;
mod report_timer;
mod route_profile;
mod target_ranking;

pub(crate) use balancer_flows::BalancerFlows;
pub(crate) use flow_verdict::{FlowVerdict, RefusalCause, ReportAction};
pub(crate) use known_targets::{KnownTargets, ServiceTargets, TargetIncarnation};
pub(crate) use target_ranking::{RankedTarget, TargetRanking};
