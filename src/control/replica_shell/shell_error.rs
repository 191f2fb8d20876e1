use std::io;

use miette::Diagnostic;
use thiserror::Error;

use crate::control::{journal::JournalError, replica_link::LinkError, state::StateError};

/// Why a replica stopped.
#[derive(Debug, Error, Diagnostic)]
pub enum ReplicaShellError {
    /// The data folder can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Journal(#[from] JournalError),
    /// Peer connections can't be accepted.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Link(#[from] LinkError),
    /// A snapshot can't be encoded or decoded.
    #[error(transparent)]
    #[diagnostic(transparent)]
    State(#[from] StateError),
    /// The disk writer thread can't be started.
    #[error("cannot start the disk writer thread: {0}")]
    Thread(#[source] io::Error),
    /// A task or thread of the replica ended unexpectedly.
    #[error("a task of the replica ended unexpectedly")]
    Ended,
}
