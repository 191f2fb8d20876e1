use miette::Diagnostic;
use thiserror::Error;

/// Why bytes could not be turned into control state, or back.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum StateError {
    /// A snapshot has another shape.
    #[error("the snapshot of the control state can't be decoded: {0}")]
    Snapshot(postcard::Error),
    /// A command can't be encoded.
    #[error("the command can't be encoded: {0}")]
    Command(postcard::Error),
    /// An outcome can't be decoded.
    #[error("the outcome of a command can't be decoded at column {column}")]
    Outcome {
        /// Where the decoder stopped.
        column: usize,
    },
}
