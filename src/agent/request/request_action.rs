use super::RunPlace;
use crate::agent::{outcome::FinalAnswer, slot::SlotKey};

/// How a ticket's run ended, before the kept answer is put to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SettledRun {
    /// It ran and its answer came whole.
    Finished,
    /// It may have run.
    Unknown,
    /// It did not run and never will, and its callers are told so.
    NotRun,
    /// It did not run, and nobody is told so.
    Withdrawn,
}

/// What the shell is to do for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestAction {
    /// Take the request, and its claims at peers, out of the queues.
    LeaveQueues,
    /// Give the own slot back.
    ReleaseSlot(SlotKey),
    /// Open a connection to the place.
    Open(RunPlace),
    /// Wait for a slot again.
    QueueAgain,
    /// Make another attempt at a peer, or here if there is none.
    OpenElsewhere,
    /// Write the request: from now on it may run.
    Send(RunPlace),
    /// Pass the head of the answer on, and the body as it comes.
    PassAnswer,
    /// End the answer: all of it came.
    EndAnswer,
    /// Break the answer off, so that the caller sees that it is not whole.
    ResetAnswer,
    /// Drop the connection to the place, so that it sees the cancellation.
    DropAttempt,
    /// Record how the run under the request's ticket ended.
    SettleTicket(SettledRun),
    /// Give the final answer at once.
    Answer(FinalAnswer),
}
