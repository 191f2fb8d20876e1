use miette::Diagnostic;
use thiserror::Error;

use super::LinkFault;
use crate::control::api::CallRefusal;

/// Why a call of the control group failed.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum ControlClientError {
    /// The group refused the call; nothing changed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Refused(#[from] CallRefusal),
    /// No replica could be asked; nothing changed.
    #[error("control was not reached in {attempts} attempts, the last one: {last}")]
    Unreachable {
        /// How often a replica was tried.
        attempts: u32,
        /// Why the last attempt failed.
        last: LinkFault,
    },
    /// The call may or may not have been executed; it is safe to send it again.
    #[error("the outcome is unknown after {attempts} attempts, the last one: {last}")]
    OutcomeUnknown {
        /// How often a replica was tried.
        attempts: u32,
        /// Why the last attempt failed.
        last: LinkFault,
    },
}
