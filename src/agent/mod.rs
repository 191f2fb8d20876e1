//! The agent beside an upstream: terminates QUIC connections, admits and relays
//! requests, and drains.

pub(crate) mod admission;
mod agent_event;
mod agent_run;
mod agent_settings;
pub(crate) mod claim;
pub(crate) mod drain;
mod endpoint;
mod measure;
mod node;
pub(crate) mod outcome;
mod relay;
pub(crate) mod request;
pub(crate) mod retry;
pub(crate) mod slot;
pub(crate) mod ticket;

pub use agent_run::run_agent;
pub use agent_settings::AgentSettings;
pub use measure::{DecisionCost, measure_decisions};
pub use node::{AgentDump, AgentError, AgentNode};

pub(crate) use agent_event::AgentEvent;

#[cfg(test)]
mod tests;
