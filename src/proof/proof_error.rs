use miette::Diagnostic;
use thiserror::Error;

use crate::clock::SpanMillis;

/// Why a call or an answer was refused before its content was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Diagnostic)]
pub enum ProofError {
    /// The header is missing.
    #[error("the proof is missing")]
    Missing,
    /// The header has another shape.
    #[error("the proof is malformed")]
    Malformed,
    /// The time of the proof is too far from the time here.
    #[error("the proof's time is off by {offset}; check the clocks of both ends")]
    Stale {
        /// The distance between both clocks.
        offset: SpanMillis,
    },
    /// The proof names an epoch of the secret that is not live here.
    #[error("the proof names epoch bits {epoch_bits}, which are not live")]
    UnknownEpoch {
        /// The low bits of the epoch's number.
        epoch_bits: u8,
    },
    /// The proof was made with another secret or for another call.
    #[error("the proof does not match the call")]
    Mismatch,
    /// The body is not the one that was signed.
    #[error("the body does not match its proof")]
    BodyMismatch,
    /// The body is longer than allowed.
    #[error("the body is longer than {limit} bytes")]
    Oversize {
        /// The longest body that is read.
        limit: usize,
    },
    /// The body broke off or came too slowly.
    #[error("the body did not arrive whole in time")]
    Incomplete,
}

impl ProofError {
    /// Returns the value of the metric's label `reason`.
    pub(crate) const fn reason(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Malformed => "malformed",
            Self::Stale { .. } => "stale",
            Self::UnknownEpoch { .. } => "unknown_epoch",
            Self::Mismatch => "mismatch",
            Self::BodyMismatch => "body_mismatch",
            Self::Oversize { .. } => "oversize",
            Self::Incomplete => "incomplete",
        }
    }
}
