//! Takes requests from callers' connections to the upstream and back.

mod connection_server;
mod request_body;
mod request_relay;
mod upstream_client;

pub(crate) use connection_server::{ServeContext, serve_connection};
pub(crate) use upstream_client::{UpstreamClient, UpstreamError};

use request_body::RequestBody;
use request_relay::relay_request;
