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
    /// The other replicas can't be listened for.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Link(#[from] LinkError),
    /// A snapshot can't be written or read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    State(#[from] StateError),
    /// The thread that writes to the disk can't be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[source] io::Error),
    /// A part of the replica ended before the others.
    #[error("a part of the replica ended unexpectedly")]
    Ended,
}
