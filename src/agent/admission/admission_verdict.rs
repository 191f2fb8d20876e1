use crate::clock::SpanMillis;

/// The answer to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdmissionVerdict {
    /// This agent ends the connection.
    Accept,
    /// The next candidate of the chain gets the datagram.
    PassOn,
    /// The caller is told to come back later; no other candidate is left.
    Refuse {
        /// When to come back.
        retry_after: SpanMillis,
    },
}
