use std::{io, net::SocketAddrV4};

use miette::Diagnostic;
use thiserror::Error;

/// Why a connection between replicas failed.
#[derive(Debug, Error, Diagnostic)]
pub enum LinkError {
    /// The address for peer connections can't be listened on.
    #[error("cannot listen for other replicas on {address}: {cause}")]
    Listen {
        /// The address from the settings.
        address: SocketAddrV4,
        /// The error of the system.
        #[source]
        cause: io::Error,
    },
    /// The connection can't be made or failed.
    #[error("the connection failed: {0}")]
    ConnectionFailed(#[from] io::Error),
    /// The other replica did not respond in time.
    #[error("the other replica did not respond in time")]
    TimedOut,
    /// A frame is longer than allowed at this point.
    #[error("a frame has {length} bytes; allowed: at most {allowed}")]
    TooLong {
        /// The length of the payload.
        length: usize,
        /// The largest allowed length.
        allowed: usize,
    },
    /// The tag of a frame does not match the deployment secret.
    #[error("a frame has an invalid authentication tag")]
    InvalidTag,
    /// A frame is authentic but can't be decoded.
    #[error("a frame can't be decoded; the other replica may run a different version")]
    Undecodable,
}
