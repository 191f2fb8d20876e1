use std::{io, net::SocketAddrV4};

use miette::Diagnostic;
use thiserror::Error;

use crate::{
    admin::AdminError,
    agent::{endpoint::EndpointError, relay::PeerServerError},
    secret::SecretError,
    tls::TlsError,
};

/// Why an agent could not start.
#[derive(Debug, Error, Diagnostic)]
pub enum AgentError {
    /// The admin calls or the metrics can't be served.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Admin(#[from] AdminError),
    /// The deployment secret can't be loaded.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] SecretError),
    /// The certificate can't be loaded.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tls(#[from] TlsError),
    /// The tunnel's address can't be bound.
    #[error("cannot bind the tunnel at {address}: {cause}")]
    Tunnel {
        /// The address from the settings.
        address: SocketAddrV4,
        /// The error from the operating system.
        #[source]
        cause: io::Error,
    },
    /// The QUIC endpoint could not be opened.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Endpoint(#[from] EndpointError),
    /// The address for other agents can't be bound.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Peer(#[from] PeerServerError),
    /// The signal handlers can't be installed.
    #[error("cannot listen for signals: {0}")]
    Signal(#[source] io::Error),
}
