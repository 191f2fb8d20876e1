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
    /// The command line can't be understood.
    #[error(transparent)]
    Usage(#[from] UsageFault),
    /// The operator's settings were refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The manifest was refused.
    #[error("{path}: {cause}")]
    Manifest {
        /// The manifest's file.
        path: PathBuf,
        /// What is wrong with it.
        #[source]
        cause: ManifestError,
    },
    /// The deployment secret was refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] SecretError),
    /// A certificate was refused or could not be made.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tls(#[from] TlsError),
    /// A request to a service failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Caller(#[from] CallerError),
    /// The control group refused a call or was not reached.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Control(#[from] ControlClientError),
    /// A process gave no answer, or refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Admin(#[from] AdminError),
    /// A process answered no inspection.
    #[error("{address} answered no inspection: {cause}")]
    Inspect {
        /// The inspection address.
        address: SocketAddrV4,
        /// What went wrong.
        #[source]
        cause: io::Error,
    },
    /// The demo could not be staged.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Demo(#[from] DemoError),
    /// No temporary folder can be made.
    #[error("cannot make a temporary folder: {0}")]
    TemporaryFolder(#[source] io::Error),
    /// The time that the operator gave has passed.
    #[error("no answer within {seconds} s")]
    TimedOut {
        /// The time that was given.
        seconds: u64,
    },
    /// A file could not be read.
    #[error("cannot read {path}: {cause}")]
    Unreadable {
        /// The file that was asked for.
        path: PathBuf,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
    /// A file or folder could not be written.
    #[error("cannot write {path}: {cause}")]
    Unwritable {
        /// The file or folder.
        path: PathBuf,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
    /// The runtime could not be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
}

impl CliError {
    /// Returns the exit status that a pipeline sees.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) => ExitStatus::Usage,
            _ => ExitStatus::Failed,
        }
    }
}

/// What is wrong with a command line.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub(crate) enum UsageFault {
    /// The options can't be parsed.
    #[error("{message}")]
    Options {
        /// What the parser met.
        message: String,
    },
    /// An argument is missing.
    #[error("{name} is needed")]
    Missing {
        /// The argument's name.
        name: &'static str,
    },
    /// An argument has a value that is not allowed.
    #[error("{name} is {value:?}; allowed: {allowed}")]
    BadValue {
        /// The argument's name.
        name: &'static str,
        /// The value found.
        value: String,
        /// What would have been accepted.
        allowed: &'static str,
    },
}
