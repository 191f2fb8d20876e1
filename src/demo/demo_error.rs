use std::io;

use miette::Diagnostic;
use thiserror::Error;

use crate::{
    agent::AgentError, balancer::BalancerError, control::client::ControlClientError,
    secret::SecretError, tls::TlsError,
};

/// Why the demo could not be staged.
#[derive(Debug, Error, Diagnostic)]
pub enum DemoError {
    /// A file or an address can't be had.
    #[error("cannot prepare {what}: {cause}")]
    Prepare {
        /// What was being prepared.
        what: &'static str,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
    /// The secret was refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] SecretError),
    /// The certificate was refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tls(#[from] TlsError),
    /// Control refused a call.
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
    /// The site did not come up in time.
    #[error("{what} did not come up within {seconds} s")]
    Late {
        /// What was waited for.
        what: &'static str,
        /// The time that was waited.
        seconds: u64,
    },
}
