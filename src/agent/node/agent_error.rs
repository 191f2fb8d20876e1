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
    /// The admin address or the metrics can't be served.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Admin(#[from] AdminError),
    /// The deployment secret was refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] SecretError),
    /// The certificate was refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tls(#[from] TlsError),
    /// The tunnel's address can't be bound.
    #[error("cannot bind the tunnel at {address}: {cause}")]
    Tunnel {
        /// The address from the settings.
        address: SocketAddrV4,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
    /// The QUIC endpoint could not be opened.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Endpoint(#[from] EndpointError),
    /// The address for other agents can't be had.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Peer(#[from] PeerServerError),
    /// The signals of the system can't be listened to.
    #[error("cannot listen to signals: {0}")]
    Signal(#[source] io::Error),
}
