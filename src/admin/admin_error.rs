use std::{io, net::SocketAddr};

use miette::Diagnostic;
use thiserror::Error;

use super::AdminRefusal;
use crate::secret::SecretError;

/// Why an admin address could not be served or called.
#[derive(Debug, Error, Diagnostic)]
pub enum AdminError {
    /// The deployment secret was refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] SecretError),
    /// The address can't be listened on.
    #[error("cannot listen on {address}: {cause}; is it in use, or not an address of this host?")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
    /// The metrics can't be offered.
    #[error("cannot offer metrics on {address}: {cause}")]
    Metrics {
        /// The address from the settings.
        address: SocketAddr,
        /// What the metrics library met.
        #[source]
        cause: metrics_exporter_prometheus::BuildError,
    },
    /// Another part of the process collects the metrics already.
    #[error("the metrics of this process are collected already")]
    MetricsTaken,
    /// No client can be made for the address.
    #[error("cannot call {address}: {cause}")]
    Client {
        /// The address that was to be called.
        address: SocketAddr,
        /// What the JSON-RPC library met.
        #[source]
        cause: Box<jsonrpsee::core::ClientError>,
    },
    /// The call was not answered, or its proof was refused.
    #[error(
        "no proven answer from {address}: {cause}; is it an admin address, is the secret the same, do the clocks agree?"
    )]
    Unanswered {
        /// The address that was called.
        address: SocketAddr,
        /// What the JSON-RPC library met.
        #[source]
        cause: Box<jsonrpsee::core::ClientError>,
    },
    /// The process knows no such call.
    #[error("{address} answers, but not this call: {message}")]
    UnknownCall {
        /// The address that was called.
        address: SocketAddr,
        /// What the process answered.
        message: String,
    },
    /// The process refused the call.
    #[error("{address}: {refusal}")]
    Refused {
        /// The address that was called.
        address: SocketAddr,
        /// Why the process refused.
        refusal: AdminRefusal,
    },
}
