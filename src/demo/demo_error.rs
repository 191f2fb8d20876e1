use std::io;

use miette::Diagnostic;
use thiserror::Error;

use crate::{
    agent::AgentError, balancer::BalancerError, control::client::ControlClientError,
    secret::SecretError, tls::TlsError,
};

/// Why the demo could not start.
#[derive(Debug, Error, Diagnostic)]
pub enum DemoError {
    /// A file could not be written or an address could not be bound.
    #[error("cannot prepare {what}: {cause}")]
    Prepare {
        /// What was being prepared.
        what: &'static str,
        /// The error of the operating system.
        #[source]
        cause: io::Error,
    },
    /// The deployment secret could not be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] SecretError),
    /// The certificate could not be made or used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tls(#[from] TlsError),
    /// A call to control failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Control(#[from] ControlClientError),
    /// A balancer could not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Balancer(#[from] BalancerError),
    /// An agent could not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Agent(#[from] AgentError),
    /// A part of the site did not start in time.
    #[error("{what} did not come up within {seconds} s")]
    StartTimeout {
        /// What was waited for.
        what: &'static str,
        /// The timeout.
        seconds: u64,
    },
}
