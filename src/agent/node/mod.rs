//! The running agent: startup, lease renewal, drain and dumps.

mod agent_dump;
mod agent_error;
mod agent_node;
mod drain_actor;
mod lease_renewer;
mod open_work_gauge;

pub use agent_dump::AgentDump;
pub use agent_error::AgentError;
pub use agent_node::AgentNode;

pub(crate) use drain_actor::{DrainActor, DrainHandles, DrainInput, DrainQuery};
pub(crate) use lease_renewer::{LeaseRenewer, withdraw_target};
pub(crate) use open_work_gauge::{OpenWorkGauge, OpenWorkGuard, OpenWorkKind};
