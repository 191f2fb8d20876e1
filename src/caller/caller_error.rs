use std::{io, net::SocketAddrV4};

use h3::error::{Code, ConnectionError as Http3Error, StreamError};
use miette::Diagnostic;
use quinn::{ConnectError, ConnectionError};
use thiserror::Error;

use crate::tls::TlsError;

/// Why a request got no complete response.
#[derive(Debug, Error, Diagnostic)]
pub enum CallerError {
    /// The TLS settings could not be loaded.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tls(#[from] TlsError),
    /// The UDP socket could not be opened.
    #[error("cannot open a UDP socket: {0}")]
    Socket(#[source] io::Error),
    /// The TLS settings lack the cipher suite that QUIC starts with.
    #[error("the TLS settings can't be used for QUIC: {0}")]
    Cipher(#[source] quinn::crypto::rustls::NoInitialCipherSuite),
    /// The connection attempt could not be started.
    #[error("cannot connect to {address}: {cause}")]
    Connect {
        /// The service's address.
        address: SocketAddrV4,
        /// The error of the QUIC library.
        #[source]
        cause: ConnectError,
    },
    /// The handshake failed.
    #[error("no connection to {address}: {cause}")]
    Handshake {
        /// The service's address.
        address: SocketAddrV4,
        /// Why the connection ended.
        #[source]
        cause: ConnectionError,
    },
    /// The connection was lost.
    #[error("the connection was lost: {0}")]
    Connection(#[source] Http3Error),
    /// The connection accepts no new requests, so this one was not sent.
    #[error("the request was not sent: {0}")]
    Unsent(#[source] StreamError),
    /// The request's stream was reset; the response, if any, is incomplete.
    #[error("the request was cut: {0}")]
    Stream(#[source] StreamError),
    /// The request is not valid HTTP.
    #[error("the request can't be sent: {0}")]
    Malformed(#[source] http::Error),
    /// The response is too large to collect in memory.
    #[error("the response has more than {limit} bytes")]
    Oversize {
        /// The limit in bytes.
        limit: usize,
    },
}

impl CallerError {
    /// Returns whether the request was certainly not processed.
    ///
    /// A server rejects requests that arrive after its GOAWAY with the code
    /// `H3_REQUEST_REJECTED`.
    #[must_use]
    pub fn is_not_processed(&self) -> bool {
        match self {
            Self::Stream(StreamError::RemoteTerminate { code, .. }) => {
                *code == Code::H3_REQUEST_REJECTED
            }
            Self::Unsent(_) | Self::Malformed(_) => true,
            _ => false,
        }
    }
}
