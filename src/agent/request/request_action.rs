use super::RunPlace;
use crate::agent::{outcome::FinalAnswer, slot::SlotKey};

/// How the run under a ticket ended, without the answer itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SettledRun {
    /// It ran and its answer is complete.
    Finished,
    /// It may have run.
    Unknown,
    /// It did not run and never will; its callers receive that answer.
    NotRun,
    /// It did not run, and its caller left without an answer.
    Withdrawn,
}

/// An action that the I/O layer carries out for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestAction {
    /// Remove the request from the queue and release its claims at peers.
    LeaveQueues,
    /// Release the local slot.
    ReleaseSlot(SlotKey),
    /// Open a connection to run the request there.
    Open(RunPlace),
    /// Queue the request for a slot again.
    Requeue,
    /// Make another attempt at a peer, or locally if there is none.
    RetryElsewhere,
    /// Send the request: from here on it may run.
    Send(RunPlace),
    /// Forward the head of the answer, then the body as it arrives.
    ForwardAnswer,
    /// End the answer: it is complete.
    EndAnswer,
    /// Reset the answer, so that the caller sees that it is incomplete.
    ResetAnswer,
    /// Close the attempt's connection, which cancels the request at the other end.
    CancelAttempt,
    /// Record how the run under the request's ticket ended.
    SettleTicket(SettledRun),
    /// Send this final answer.
    Answer(FinalAnswer),
}
