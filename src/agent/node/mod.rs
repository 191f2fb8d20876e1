//! The running agent: its parts, its lease and its planned stop.

mod agent_dump;
mod agent_error;
mod agent_node;
mod drain_actor;
mod lease_keeper;
mod open_work_gauge;

pub use agent_dump::AgentDump;
pub use agent_error::AgentError;
pub use agent_node::AgentNode;

pub(crate) use drain_actor::{DrainActor, DrainDuty, DrainOrder, DrainQuery};
pub(crate) use lease_keeper::{LeaseKeeper, withdraw_target};
pub(crate) use open_work_gauge::{OpenWorkGauge, OpenWorkGuard, OpenWorkKind};
