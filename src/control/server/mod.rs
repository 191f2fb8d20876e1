//! The JSON-RPC server of a control replica.

mod announce_check;
mod call_gate;
mod call_methods;
mod control_service;
mod lease_driver;
mod listening_file;
mod server_handle;
mod watch_call;

pub(crate) use call_gate::CallGate;
pub(crate) use control_service::ControlService;
pub(crate) use listening_file::write_listening;
pub(crate) use server_handle::{ControlServer, ServerError};

use announce_check::check_announce;
use call_methods::register_methods;
use lease_driver::drive_leases;

#[cfg(test)]
pub(crate) mod tests;
