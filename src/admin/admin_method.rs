/// A JSON-RPC method of the admin address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdminMethod {
    /// Returns the full state of the process.
    Dump,
    /// Starts a drain.
    Drain,
    /// Cancels a drain.
    CancelDrain,
    /// Returns the progress of a drain.
    DrainStatus,
}

impl AdminMethod {
    /// Returns the method name on the wire.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Dump => "dump",
            Self::Drain => "drain",
            Self::CancelDrain => "cancel_drain",
            Self::DrainStatus => "drain_status",
        }
    }
}
