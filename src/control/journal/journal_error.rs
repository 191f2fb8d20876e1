use std::{
    io,
    path::{Path, PathBuf},
};

use miette::Diagnostic;
use thiserror::Error;

/// Why a replica's data folder can't be used.
#[derive(Debug, Error, Diagnostic)]
pub enum JournalError {
    /// A file could not be read or written.
    #[error("cannot {action} {path}: {cause}")]
    Storage {
        /// What was tried.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
    /// Another process has the data folder.
    #[error("another process uses the data folder {path}")]
    #[diagnostic(help("give each replica a folder of its own"))]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// A file holds other bytes than were written.
    #[error("{path} is damaged at offset {offset}: {fault}")]
    #[diagnostic(help(
        "if a majority of the group is whole, move the data folder away and start the replica; \
         it joins again as a new one"
    ))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the fault was found, in bytes.
        offset: u64,
        /// What was found.
        fault: DamageFault,
    },
    /// Files are there, but not the one that names the data folder.
    #[error("the data folder {path} holds a log but no hard state")]
    IdentityMissing {
        /// The data folder.
        path: PathBuf,
    },
    /// An earlier write has failed, so nothing more is written.
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
    #[error("something is missing before it")]
    Gap,
}

impl JournalError {
    /// Wraps what the system answered when `action` was tried on `path`.
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

    /// Names a damaged place.
    pub(super) fn damaged(path: &Path, offset: usize, fault: DamageFault) -> Self {
        Self::Damaged {
            path: path.to_owned(),
            offset: offset as u64,
            fault,
        }
    }
}
