use std::sync::Arc;

use super::{KeptOutcome, SealedTicket};
use crate::agent::outcome::FinalAnswer;

slotmap::new_key_type! {
    /// Key of the single run under a ticket.
    pub(crate) struct RunKey;
}

/// The decision on a request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TicketVerdict {
    /// Run this request; its outcome must be settled.
    Run(RunKey),
    /// The run is in progress; its outcome answers this request too.
    Await(RunKey),
    /// The request ran; replay its answer.
    Replay(Arc<KeptOutcome>),
    /// The agent that minted the ticket, or a successor, must decide.
    Relay(SealedTicket),
    /// The agent answers the request itself.
    Answer(FinalAnswer),
}

/// Whether other callers wait for a run when one is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DetachVerdict {
    /// Other callers wait for the same run; it continues.
    OthersWait,
    /// No caller waits for the run.
    NoCallerWaits,
}
