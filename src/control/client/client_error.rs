use miette::Diagnostic;
use thiserror::Error;

use super::ReplicaCallError;
use crate::control::api::CallRefusal;

/// Why a call to the control group failed.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum ControlClientError {
    /// The group refused the call; nothing changed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Refused(#[from] CallRefusal),
    /// No replica executed the call; nothing changed.
    #[error("the control group was not reached in {attempts} attempts; last failure: {last}")]
    Unreachable {
        /// The number of attempts.
        attempts: u32,
        /// Why the last attempt failed.
        last: ReplicaCallError,
    },
    /// The call may or may not have been executed; it is safe to send it again.
    #[error("the outcome is unknown after {attempts} attempts; last failure: {last}")]
    OutcomeUnknown {
        /// The number of attempts.
        attempts: u32,
        /// Why the last attempt failed.
        last: ReplicaCallError,
    },
}
