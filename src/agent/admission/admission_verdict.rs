use crate::clock::SpanMillis;

/// The decision on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdmissionVerdict {
    /// This agent accepts the connection.
    Accept,
    /// The datagram is forwarded to the next candidate.
    PassOn,
    /// The connection is refused; no other candidate is left.
    Refuse {
        /// How long the caller should wait before it tries again.
        retry_after: SpanMillis,
    },
}
