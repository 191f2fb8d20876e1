use std::{
    io,
    path::{Path, PathBuf},
};

use miette::Diagnostic;
use thiserror::Error;

/// A failure to use a replica's data folder.
#[derive(Debug, Error, Diagnostic)]
pub enum JournalError {
    /// A file could not be read or written.
    #[error("cannot {action} {path}: {cause}")]
    Storage {
        /// The operation that failed.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        #[source]
        cause: io::Error,
    },
    /// Another process has locked the data folder.
    #[error("another process holds the data folder's lock {path}")]
    #[diagnostic(help("give each replica a folder of its own"))]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// A file does not hold the bytes that were written.
    #[error("{path} is damaged at offset {offset}: {fault}")]
    #[diagnostic(help(
        "if a majority of the group is healthy, move the data folder away and start the replica; \
         it joins again as a new one"
    ))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// The offset of the damage in bytes.
        offset: u64,
        /// The kind of damage.
        fault: DamageFault,
    },
    /// The folder holds segments or snapshots, but not the hard state with its identity.
    #[error("the data folder {path} holds a log but no hard state")]
    IdentityMissing {
        /// The data folder.
        path: PathBuf,
    },
    /// An earlier write failed, so further writes are refused.
    #[error("the data folder {path} is closed since an earlier write failed")]
    Closed {
        /// The data folder.
        path: PathBuf,
    },
}

/// What is wrong with a damaged file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DamageFault {
    /// The header's checksum does not match.
    #[error("the header's checksum does not match")]
    Header,
    /// The content's checksum does not match.
    #[error("the content's checksum does not match")]
    Content,
    /// The checksums match, but the content can't be decoded.
    #[error("the content can't be decoded")]
    Encoding,
    /// The file ends before its content.
    #[error("the file ends too early")]
    Length,
    /// An entry or a whole file is missing before this one.
    #[error("an entry or a file before it is missing")]
    Gap,
}

impl JournalError {
    /// Wraps an error of the operating system with the failed action and its path.
    pub(super) fn storage(
        action: &'static str,
        path: &Path,
    ) -> impl FnOnce(io::Error) -> Self + use<> {
        let path = path.to_owned();
        move |cause| Self::Storage {
            action,
            path,
            cause,
        }
    }

    /// Creates the error for damage at `offset` bytes.
    pub(super) fn damaged(path: &Path, offset: usize, fault: DamageFault) -> Self {
        Self::Damaged {
            path: path.to_owned(),
            offset: offset as u64,
            fault,
        }
    }
}
