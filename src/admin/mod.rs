//! The admin interface of every process: state dumps, drains and metrics.

mod admin_client;
mod admin_endpoints;
mod admin_error;
mod admin_handlers;
mod admin_method;
mod admin_refusal;
mod admin_server;
mod drain_command;
mod http_listener;
mod latency_histogram;
mod metrics_listener;
mod metrics_recorder;

pub use admin_error::AdminError;
pub use admin_handlers::AdminHandlers;
pub use admin_refusal::AdminRefusal;
pub use admin_server::AdminServer;
pub use http_listener::{HttpResponse, serve_http};
pub use metrics_listener::start_metrics;

pub(crate) use admin_client::AdminClient;
pub(crate) use admin_endpoints::AdminEndpoints;
pub(crate) use admin_method::AdminMethod;
pub(crate) use drain_command::{DrainCommand, DrainRequest};
pub(crate) use metrics_recorder::MetricsRecorder;

#[cfg(test)]
mod tests;
