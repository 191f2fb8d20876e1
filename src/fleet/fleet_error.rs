use std::{io, net::SocketAddrV4};

use miette::Diagnostic;
use thiserror::Error;

use crate::{control::ReplicaShellError, secret::SecretError};

/// Why a process of a deployment can't start or go on.
#[derive(Debug, Error, Diagnostic)]
pub enum FleetError {
    /// An address can't be had.
    #[error("cannot use {address} for {purpose}: {cause}")]
    Address {
        /// The address.
        address: SocketAddrV4,
        /// What it is for.
        purpose: &'static str,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
    /// Signals can't be listened for.
    #[error("cannot listen for signals: {0}")]
    Signals(#[source] io::Error),
    /// The control replica can't go on.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Replica(#[from] ReplicaShellError),
    /// The keys of the links can't be made.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] SecretError),
}
