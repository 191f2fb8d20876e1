//! How other processes call the control group.

mod call_plan;
mod client_error;
mod control_client;
mod link_fault;
mod replica_link;

pub use client_error::ControlClientError;
pub use control_client::ControlClient;
pub use link_fault::LinkFault;

use call_plan::{CallPlan, PlanStep};
use replica_link::ReplicaLink;

#[cfg(test)]
mod tests;
