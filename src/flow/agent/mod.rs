//! The part of the agent beside a target: delivers packets to the target, passes them
//! on, queues openings, and measures the target.

mod agent_flows;
mod agent_journal;
mod agent_openings;
mod agent_pace;
mod agent_step;
mod cold_limiter;
mod delivery_ring;
mod failure_meter;
mod opening_queue;
mod pace_window;
pub(super) mod request_progress;
mod running_mean;
mod service_meter;
mod target_figures;
mod target_health;
pub(super) mod target_load;
mod tracked_flow;

pub(crate) use agent_flows::AgentFlows;
pub(crate) use agent_pace::HeldOpenings;
pub(crate) use agent_step::{AgentAction, AgentStep, DequeuedOpening, TargetLifecycle};
pub(crate) use target_figures::TargetFigures;
