/// A JSON-RPC method of the control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallName {
    /// Registers a target.
    Announce,
    /// Deregisters a target.
    Withdraw,
    /// Renews a lease.
    Heartbeat,
    /// Waits for route changes (long poll).
    Watch,
    /// Submits a manifest.
    Apply,
    /// Returns the status of the group.
    Status,
    /// Returns the state of the called replica.
    Dump,
}

impl CallName {
    /// Returns the method's name on the wire.
    #[must_use]
    pub const fn method(self) -> &'static str {
        match self {
            Self::Announce => "announce",
            Self::Withdraw => "withdraw",
            Self::Heartbeat => "heartbeat",
            Self::Watch => "watch",
            Self::Apply => "apply",
            Self::Status => "status",
            Self::Dump => "dump",
        }
    }
}

/// The JSON-RPC error code of errors whose data is a `CallRefusal`.
pub const REFUSAL_CODE: i32 = 1;
/// The maximum size of a request body.
pub const MAX_REQUEST_BYTES: usize = 16 * 1_024 * 1_024;
/// The maximum size of a response body.
pub const MAX_REPLY_BYTES: usize = 32 * 1_024 * 1_024;
