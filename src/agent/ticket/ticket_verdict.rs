use std::sync::Arc;

use super::{KeptOutcome, SealedTicket};
use crate::agent::outcome::FinalAnswer;

slotmap::new_key_type! {
    /// Names the one run under a ticket.
    pub(crate) struct RunKey;
}

/// What is to be done with a request that carries an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TicketVerdict {
    /// This request is the one run; its outcome must be settled.
    Run(RunKey),
    /// The one run is on its way; its outcome answers this request too.
    Await(RunKey),
    /// The request ran; this is its answer.
    Replay(Arc<KeptOutcome>),
    /// Only the agent that minted the ticket, or its heir, may decide.
    Relay(SealedTicket),
    /// The agent answers itself.
    Answer(FinalAnswer),
}

/// Who is left when one caller of a run is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DetachVerdict {
    /// Other callers wait for the same run; it goes on.
    OthersWait,
    /// Nobody waits for the run any more.
    NobodyWaits,
}
