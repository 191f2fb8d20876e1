use miette::Diagnostic;
use thiserror::Error;

/// Why a tunnel frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Diagnostic)]
pub enum FrameError {
    /// The frame is shorter than its header.
    #[error("frame of {length} bytes is shorter than its header")]
    Truncated {
        /// The length of the frame, in bytes.
        length: usize,
    },
    /// This version does not know the frame kind.
    #[error("unknown frame kind {kind}")]
    UnknownKind {
        /// The frame kind on the wire.
        kind: u8,
    },
    /// The key ring has no key of the frame's epoch.
    #[error("no key for epoch {epoch_bits} of the frame")]
    UnknownEpoch {
        /// The key epoch bits of the frame.
        epoch_bits: u8,
    },
    /// The MAC does not match.
    #[error("frame authentication failed")]
    Forged,
}
