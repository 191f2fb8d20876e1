//! The agent.

mod agent_event;
mod agent_run;
mod agent_settings;

pub use agent_run::{AgentError, run_agent};
pub use agent_settings::AgentSettings;

pub(crate) use agent_event::AgentEvent;
