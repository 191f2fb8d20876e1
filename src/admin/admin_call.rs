/// The name of a JSON-RPC method that a process answers an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdminCall {
    /// Asks for the whole state of the process.
    Dump,
    /// Starts a planned stop.
    Drain,
    /// Takes a planned stop back.
    CancelDrain,
    /// Asks how far a planned stop has come.
    DrainStatus,
}

impl AdminCall {
    /// Returns the method's name on the wire.
    pub(crate) const fn method(self) -> &'static str {
        match self {
            Self::Dump => "dump",
            Self::Drain => "drain",
            Self::CancelDrain => "cancel_drain",
            Self::DrainStatus => "drain_status",
        }
    }
}
