//! The agent beside an upstream: ends connections, decides, relays, drains.

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
pub(crate) mod drain;
mod endpoint;
mod node;
#[allow(
    dead_code,
    unused_imports,
    reason = "the request path does not call it yet"
)]
pub(crate) mod outcome;
mod relay;
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

pub use agent_run::run_agent;
pub use agent_settings::AgentSettings;
pub use node::{AgentDump, AgentError, AgentNode};

pub(crate) use agent_event::AgentEvent;

#[cfg(test)]
mod tests;
