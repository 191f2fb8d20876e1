use std::{io, path::PathBuf};

use miette::Diagnostic;
use thiserror::Error;

/// Why settings were rejected.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read {path}: {cause}")]
    Unreadable {
        /// The settings file.
        path: PathBuf,
        /// The I/O error.
        #[source]
        cause: io::Error,
    },
    /// The content is not JSON of the expected structure.
    #[error("{path}: at `{field}`, line {line}, column {column}: {message}")]
    Malformed {
        /// The settings file.
        path: PathBuf,
        /// The path of the field within the document.
        field: String,
        /// The line, counted from 1.
        line: usize,
        /// The column, counted from 1.
        column: usize,
        /// The message of the JSON decoder.
        message: String,
    },
    /// A field holds a value that is not allowed.
    #[error("{path}: `{field}` is {value}; allowed: {allowed}")]
    OutOfRange {
        /// The settings file.
        path: PathBuf,
        /// The path of the field within the document.
        field: &'static str,
        /// The value found.
        value: String,
        /// A description of the allowed values.
        allowed: &'static str,
    },
}
