use std::{io, path::PathBuf};

use miette::Diagnostic;
use thiserror::Error;

/// Why settings were refused.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read {path}: {cause}")]
    Unreadable {
        /// The file that was asked for.
        path: PathBuf,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
    /// The text is no JSON of the expected shape.
    #[error("{path}: at `{field}`, line {line}, column {column}: {message}")]
    Malformed {
        /// The file that was read.
        path: PathBuf,
        /// The path of the field within the document.
        field: String,
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// What the decoder expected.
        message: String,
    },
    /// A field holds a value that is not allowed.
    #[error("{path}: `{field}` is {value}; allowed: {allowed}")]
    OutOfRange {
        /// The file that was read.
        path: PathBuf,
        /// The path of the field within the document.
        field: &'static str,
        /// The value found.
        value: String,
        /// What would have been accepted.
        allowed: &'static str,
    },
}
