//! The admin interface of every process: state dumps, drains and metrics.

mod admin_client;
mod admin_endpoints;
mod admin_error;
mod admin_handlers;
mod admin_method;
mod admin_refusal;
mod admin_server;
mod drain_command;
mod metrics_listener;

pub use admin_error::AdminError;
pub use admin_handlers::AdminHandlers;
pub use admin_refusal::AdminRefusal;
pub use admin_server::AdminServer;
pub use metrics_listener::{start_metrics, start_metrics_delayed};

pub(crate) use admin_client::AdminClient;
pub(crate) use admin_endpoints::AdminEndpoints;
pub(crate) use admin_method::AdminMethod;
pub(crate) use drain_command::{DrainCommand, DrainRequest};

#[cfg(test)]
mod tests;
