//! The balancer.

mod balancer_event;
mod balancer_run;
mod balancer_settings;

pub use balancer_run::{BalancerError, run_balancer};
pub use balancer_settings::BalancerSettings;

pub(crate) use balancer_event::BalancerEvent;
