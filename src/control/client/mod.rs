//! The client of the control group, with failover between its replicas.

mod client_error;
mod control_client;
mod failover_plan;
mod replica_call_error;
mod replica_client;

pub use client_error::ControlClientError;
pub use control_client::ControlClient;
pub use replica_call_error::ReplicaCallError;

use failover_plan::{FailoverPlan, FailoverStep};
use replica_client::ReplicaClient;

#[cfg(test)]
mod tests;
