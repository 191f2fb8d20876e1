use std::{io, net::SocketAddrV4};

use miette::Diagnostic;
use thiserror::Error;

/// Why a connection between replicas failed or was closed.
#[derive(Debug, Error, Diagnostic)]
pub enum LinkError {
    /// The address for the other replicas can't be listened on.
    #[error("cannot listen for other replicas on {address}: {cause}")]
    Listen {
        /// The address from the settings.
        address: SocketAddrV4,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(#[from] io::Error),
    /// The other side did not answer in time.
    #[error("the other side is silent")]
    Silent,
    /// A frame is longer than is allowed at this point.
    #[error("a frame of {length} bytes; allowed: {allowed}")]
    TooLong {
        /// The length that the frame claims.
        length: usize,
        /// The largest length.
        allowed: usize,
    },
    /// A frame proves no knowledge of the deployment secret.
    #[error("a frame carries a wrong proof")]
    WrongProof,
    /// A frame is authentic but can't be decoded.
    #[error("a frame can't be decoded; the other replica may run another version")]
    Undecodable,
}
