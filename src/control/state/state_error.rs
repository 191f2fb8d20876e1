use miette::Diagnostic;
use thiserror::Error;

/// A failure to encode or decode state, commands or outcomes.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum StateError {
    /// A snapshot can't be encoded or decoded.
    #[error("the snapshot of the control state can't be decoded: {0}")]
    Snapshot(postcard::Error),
    /// A command can't be encoded.
    #[error("the command can't be encoded: {0}")]
    Command(postcard::Error),
    /// An outcome can't be decoded.
    #[error("the outcome of a command can't be decoded at column {column}")]
    Outcome {
        /// The column of the JSON text at which decoding failed.
        column: usize,
    },
}
