//! The JSON-RPC server of a control replica.

mod announce_check;
mod call_limiter;
mod call_methods;
mod control_server;
mod control_service;
mod lease_driver;
mod listening_file;
mod watch_call;

pub(crate) use call_limiter::CallLimiter;
pub(crate) use control_server::{ControlServer, ServerError};
pub(crate) use control_service::ControlService;
pub(crate) use listening_file::write_listening;

use announce_check::check_announce;
use call_methods::register_methods;
use lease_driver::run_lease_driver;

#[cfg(test)]
pub(crate) mod tests;
