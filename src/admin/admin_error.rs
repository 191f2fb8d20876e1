use std::{io, net::SocketAddr};

use miette::Diagnostic;
use thiserror::Error;

use super::AdminRefusal;
use crate::secret::SecretError;

/// An error in serving or calling an admin or metrics address.
#[derive(Debug, Error, Diagnostic)]
pub enum AdminError {
    /// The deployment secret could not be loaded.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] SecretError),
    /// The address could not be bound.
    #[error("cannot listen on {address}: {cause}; is it in use, or not an address of this host?")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        #[source]
        cause: io::Error,
    },
    /// The process already has a metrics recorder.
    #[error("this process already has a metrics recorder")]
    RecorderInstalled,
    /// No client could be created for the address.
    #[error("cannot call {address}: {cause}")]
    Client {
        /// The address of the process.
        address: SocketAddr,
        /// What the JSON-RPC library met.
        #[source]
        cause: Box<jsonrpsee::core::ClientError>,
    },
    /// No response arrived, or authentication of the call failed on either side.
    #[error(
        "no authenticated response from {address}: {cause}; is it an admin address, is the secret the same, do the clocks agree?"
    )]
    Unanswered {
        /// The address that was called.
        address: SocketAddr,
        /// What the JSON-RPC library met.
        #[source]
        cause: Box<jsonrpsee::core::ClientError>,
    },
    /// The process does not support the method.
    #[error("{address} does not support this call: {message}")]
    UnknownMethod {
        /// The address that was called.
        address: SocketAddr,
        /// The message of the JSON-RPC error.
        message: String,
    },
    /// The process refused the call.
    #[error("{address}: {refusal}")]
    Refused {
        /// The address that was called.
        address: SocketAddr,
        /// The refusal that the process returned.
        refusal: AdminRefusal,
    },
}
