use miette::Diagnostic;
use thiserror::Error;

use crate::clock::SpanMillis;

/// Why a call or a reply failed authentication, before its content is parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Diagnostic)]
pub enum ProofError {
    /// The header is missing.
    #[error("the proof is missing")]
    Missing,
    /// The value of the header can't be parsed.
    #[error("the proof is malformed")]
    Malformed,
    /// The time of the proof differs too much from the local clock.
    #[error("the proof's time is off by {offset}; check the clocks of both ends")]
    Stale {
        /// The difference between both clocks.
        offset: SpanMillis,
    },
    /// The proof uses an epoch of the secret that is not accepted here.
    #[error("the proof names epoch bits {epoch_bits}, which are not live")]
    UnknownEpoch {
        /// The low bits of the epoch's number.
        epoch_bits: u8,
    },
    /// The MAC does not verify: another secret, or another call.
    #[error("the proof does not match the call")]
    Mismatch,
    /// The digest of the body is not the one that the MAC covers.
    #[error("the body does not match its proof")]
    BodyMismatch,
    /// The body is longer than the limit.
    #[error("the body is longer than {limit} bytes")]
    Oversize {
        /// The longest accepted body in bytes.
        limit: usize,
    },
    /// The body ended early or did not arrive within its timeout.
    #[error("the body did not arrive whole in time")]
    Incomplete,
}

impl ProofError {
    /// Returns the value of the metric label `reason`.
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
