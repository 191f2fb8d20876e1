use miette::Diagnostic;
use thiserror::Error;

/// Why a tunnel frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Diagnostic)]
pub enum FrameError {
    /// The datagram ends before its header does.
    #[error("the frame has {length} bytes, too few for its header")]
    Truncated {
        /// The bytes found.
        length: usize,
    },
    /// The kind is none that this version knows.
    #[error("the frame has the unknown kind {kind}")]
    UnknownKind {
        /// The first byte found.
        kind: u8,
    },
    /// The epoch of its key is not live.
    #[error("the frame uses the key epoch {epoch_bits}, which is not live")]
    UnknownEpoch {
        /// The epoch's bits.
        epoch_bits: u8,
    },
    /// The proof does not match.
    #[error("the frame is not authentic")]
    Forged,
}
