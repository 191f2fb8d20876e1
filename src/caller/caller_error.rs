use std::{io, net::SocketAddrV4};

use h3::error::{Code, ConnectionError as Http3Error, StreamError};
use miette::Diagnostic;
use quinn::{ConnectError, ConnectionError};
use thiserror::Error;

use crate::tls::TlsError;

/// Why a request came back without a whole answer.
#[derive(Debug, Error, Diagnostic)]
pub enum CallerError {
    /// The TLS settings were refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tls(#[from] TlsError),
    /// No socket could be opened.
    #[error("cannot open a UDP socket: {0}")]
    Socket(#[source] io::Error),
    /// The TLS library lacks what QUIC needs.
    #[error("the TLS settings can't be used for QUIC: {0}")]
    Cipher(#[source] quinn::crypto::rustls::NoInitialCipherSuite),
    /// The connection could not be attempted.
    #[error("cannot connect to {address}: {cause}")]
    Connect {
        /// The service's address.
        address: SocketAddrV4,
        /// What the QUIC library refused.
        #[source]
        cause: ConnectError,
    },
    /// The handshake failed.
    #[error("no connection to {address}: {cause}")]
    Handshake {
        /// The service's address.
        address: SocketAddrV4,
        /// How the connection ended.
        #[source]
        cause: ConnectionError,
    },
    /// The connection is lost.
    #[error("the connection is lost: {0}")]
    Connection(#[source] Http3Error),
    /// The connection takes no new requests; this one was not sent.
    #[error("the request was not sent: {0}")]
    Unsent(#[source] StreamError),
    /// The request's stream was cut; the answer, if any, is not whole.
    #[error("the request was cut: {0}")]
    Stream(#[source] StreamError),
    /// The request can't be written as HTTP.
    #[error("the request can't be sent: {0}")]
    Malformed(#[source] http::Error),
    /// The answer is longer than the caller keeps.
    #[error("the answer has more than {limit} bytes")]
    Oversize {
        /// The longest answer that is kept.
        limit: usize,
    },
}

impl CallerError {
    /// Returns whether the request was surely not processed.
    ///
    /// The server rejects by code what arrives after it announced to leave.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Stream(StreamError::RemoteTerminate { code, .. }) => {
                *code == Code::H3_REQUEST_REJECTED
            }
            Self::Unsent(_) | Self::Malformed(_) => true,
            _ => false,
        }
    }
}
