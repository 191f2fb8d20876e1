use std::{io, path::PathBuf};

use miette::Diagnostic;
use thiserror::Error;

/// Why a deployment secret was refused.
#[derive(Debug, Error, Diagnostic)]
pub enum SecretError {
    /// The file could not be read.
    #[error("cannot read the secret file {path}: {cause}")]
    Unreadable {
        /// The file that was asked for.
        path: PathBuf,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
    /// Others than the owner may read the file.
    #[error("the secret file {path} has mode {mode:03o}; allowed: 600 or 400")]
    Exposed {
        /// The file that was asked for.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// The text is no JSON of the expected shape.
    #[error("the secret file {path} is malformed at line {line}, column {column}")]
    Malformed {
        /// The file that was read.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
    },
    /// The number of epochs is not one or two.
    #[error("the secret holds {count} epochs; allowed: one, or two while a rotation runs")]
    EpochCount {
        /// How many epochs were found.
        count: usize,
    },
    /// Two epochs carry numbers that can't be told apart in a connection ID.
    #[error("the epochs {first} and {second} share their low two bits; use consecutive numbers")]
    EpochClash {
        /// The first epoch's number.
        first: u8,
        /// The second epoch's number.
        second: u8,
    },
    /// The active epoch is not among the listed ones.
    #[error("the active epoch {active} is not listed")]
    ActiveMissing {
        /// The number that `active` holds.
        active: u8,
    },
    /// An epoch's secret is too short.
    #[error("the secret of epoch {epoch} has {length} bytes; allowed: 32")]
    WrongLength {
        /// The epoch's number.
        epoch: u8,
        /// The bytes found.
        length: usize,
    },
    /// A further epoch was asked for while a rotation runs.
    #[error("the secret holds {count} epochs already; finish that rotation first")]
    RotationRuns {
        /// How many epochs were found.
        count: usize,
    },
    /// A step of a rotation was asked for while none runs.
    #[error("the secret holds one epoch; add the next one first")]
    NoRotation,
    /// The old epoch was to go while it is in use.
    #[error("the added epoch is not in use yet; activate it first")]
    NotActivated,
}
