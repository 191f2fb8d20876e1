use std::{io, net::SocketAddrV4};

use miette::Diagnostic;
use thiserror::Error;

use crate::{control::ReplicaShellError, secret::SecretError};

/// Why an entry or side process can't start or keep running.
#[derive(Debug, Error, Diagnostic)]
pub enum FleetError {
    /// A socket can't be bound to its address.
    #[error("cannot use {address} for {purpose}: {cause}")]
    Address {
        /// The address.
        address: SocketAddrV4,
        /// What the socket is for.
        purpose: &'static str,
        /// The error of the operating system.
        #[source]
        cause: io::Error,
    },
    /// Signal handlers can't be installed.
    #[error("cannot listen for signals: {0}")]
    Signals(#[source] io::Error),
    /// The control replica failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Replica(#[from] ReplicaShellError),
    /// The keys of the links between replicas can't be derived.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] SecretError),
}
