use std::{io, path::PathBuf};

use miette::Diagnostic;
use thiserror::Error;

/// Why a deployment secret was rejected.
#[derive(Debug, Error, Diagnostic)]
pub enum SecretError {
    /// The file could not be read.
    #[error("cannot read the secret file {path}: {cause}")]
    Unreadable {
        /// The secret file.
        path: PathBuf,
        /// The I/O error.
        #[source]
        cause: io::Error,
    },
    /// Group or others have permissions on the file.
    #[error("the secret file {path} has mode {mode:03o}; allowed: 600 or 400")]
    InsecurePermissions {
        /// The secret file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// The content is not JSON of the expected structure.
    #[error("the secret file {path} is malformed at line {line}, column {column}")]
    Malformed {
        /// The secret file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The column, counted from 1.
        column: usize,
    },
    /// The number of epochs is not one or two.
    #[error("the secret has {count} epochs; allowed: one, or two during a rotation")]
    EpochCount {
        /// The number of epochs found.
        count: usize,
    },
    /// Two epochs have the same low bits, which is all that packets carry.
    #[error("the epochs {first} and {second} have the same low two bits; use consecutive numbers")]
    AmbiguousEpochs {
        /// The first epoch's number.
        first: u8,
        /// The second epoch's number.
        second: u8,
    },
    /// The active epoch is not listed in `epochs`.
    #[error("the active epoch {active} is not listed")]
    UnknownActiveEpoch {
        /// The number in the field `active`.
        active: u8,
    },
    /// An epoch's secret does not have 32 bytes.
    #[error("the secret of epoch {epoch} has {length} bytes; allowed: 32")]
    WrongLength {
        /// The epoch's number.
        epoch: u8,
        /// The length found, in bytes.
        length: usize,
    },
    /// An epoch can't be added while a rotation is in progress.
    #[error("the secret already has {count} epochs; finish that rotation first")]
    RotationInProgress {
        /// The number of epochs found.
        count: usize,
    },
    /// There is no rotation in progress to continue.
    #[error("the secret has one epoch; add the next one first")]
    NoRotation,
    /// The old epoch can't be removed while it is the active one.
    #[error("the added epoch is not active yet; activate it first")]
    NotActivated,
}
