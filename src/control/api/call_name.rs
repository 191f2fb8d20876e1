/// The name of a JSON-RPC method that control answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallName {
    /// Registers a target.
    Announce,
    /// Takes a target out.
    Withdraw,
    /// Renews a lease.
    Heartbeat,
    /// Asks for changes of the routes.
    Watch,
    /// Hands over a manifest.
    Apply,
    /// Asks how the group does.
    Status,
    /// Asks for the state of this replica.
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

/// The code of JSON-RPC errors whose data is a `CallRefusal`.
pub const REFUSAL_CODE: i32 = 1;
/// The longest body of a call.
pub const MOST_REQUEST_BYTES: usize = 16 * 1_024 * 1_024;
/// The longest body of an answer.
pub const MOST_REPLY_BYTES: usize = 32 * 1_024 * 1_024;
