use std::{io, net::SocketAddrV4, path::PathBuf};

use miette::Diagnostic;
use thiserror::Error;

use crate::{
    admin::AdminError, caller::CallerError, control::client::ControlClientError, demo::DemoError,
    manifest::ManifestError, program::ExitStatus, secret::SecretError, settings::SettingsError,
    tls::TlsError,
};

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum CliError {
    /// The command line is invalid.
    #[error(transparent)]
    Usage(#[from] UsageError),
    /// The operator's settings could not be loaded.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The manifest could not be read or is invalid.
    #[error("{path}: {cause}")]
    Manifest {
        /// The manifest file.
        path: PathBuf,
        /// Why the manifest was rejected.
        #[source]
        cause: ManifestError,
    },
    /// The deployment secret could not be loaded or rotated.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] SecretError),
    /// A certificate could not be loaded or generated.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tls(#[from] TlsError),
    /// A request to a service failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Caller(#[from] CallerError),
    /// The control group rejected a call or was unreachable.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Control(#[from] ControlClientError),
    /// A process did not answer an admin call, or rejected it.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Admin(#[from] AdminError),
    /// An inspection request failed.
    #[error("inspecting {address} failed: {cause}")]
    Inspect {
        /// The inspection address.
        address: SocketAddrV4,
        /// Why the inspection failed.
        #[source]
        cause: io::Error,
    },
    /// The demo could not be set up.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Demo(#[from] DemoError),
    /// No temporary folder could be created.
    #[error("cannot create a temporary folder: {0}")]
    TemporaryFolder(#[source] io::Error),
    /// No response arrived within the operator's timeout.
    #[error("no response within {seconds} s")]
    TimedOut {
        /// The timeout in seconds.
        seconds: u64,
    },
    /// A file could not be read.
    #[error("cannot read {path}: {cause}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        #[source]
        cause: io::Error,
    },
    /// A file or folder could not be written.
    #[error("cannot write {path}: {cause}")]
    Unwritable {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        #[source]
        cause: io::Error,
    },
    /// The async runtime could not be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
}

impl CliError {
    /// Returns the exit status of the process for this error.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) => ExitStatus::Usage,
            _ => ExitStatus::Failed,
        }
    }
}

/// An error in the command line.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub(crate) enum UsageError {
    /// The options could not be parsed.
    #[error("{message}")]
    Options {
        /// The parser's message.
        message: String,
    },
    /// An argument is missing.
    #[error("{name} is needed")]
    Missing {
        /// The argument's name.
        name: &'static str,
    },
    /// An argument has an invalid value.
    #[error("{name} is {value:?}; allowed: {allowed}")]
    BadValue {
        /// The argument's name.
        name: &'static str,
        /// The invalid value.
        value: String,
        /// A description of the valid values.
        allowed: &'static str,
    },
}
