//! The agent.

#[allow(
    dead_code,
    unused_imports,
    reason = "the request path does not call it yet"
)]
pub(crate) mod admission;
mod agent_event;
mod agent_run;
mod agent_settings;
#[allow(
    dead_code,
    unused_imports,
    reason = "the request path does not call it yet"
)]
pub(crate) mod claim;
#[allow(
    dead_code,
    unused_imports,
    reason = "the request path does not call it yet"
)]
pub(crate) mod drain;
#[allow(
    dead_code,
    unused_imports,
    reason = "the request path does not call it yet"
)]
pub(crate) mod outcome;
#[allow(
    dead_code,
    unused_imports,
    reason = "the request path does not call it yet"
)]
pub(crate) mod request;
#[allow(
    dead_code,
    unused_imports,
    reason = "the request path does not call it yet"
)]
pub(crate) mod retry;
#[allow(
    dead_code,
    unused_imports,
    reason = "the request path does not call it yet"
)]
pub(crate) mod slot;
#[allow(
    dead_code,
    unused_imports,
    reason = "the request path does not call it yet"
)]
pub(crate) mod ticket;

pub use agent_run::{AgentError, run_agent};
pub use agent_settings::AgentSettings;

pub(crate) use agent_event::AgentEvent;

#[cfg(test)]
mod tests;
