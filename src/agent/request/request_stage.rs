use serde::Serialize;

use crate::key::TargetKey;

/// Where a request runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RunPlace {
    /// At the local upstream.
    Own,
    /// At a peer that granted a slot, or that is tried after a failure.
    Peer(TargetKey),
    /// At the agent responsible for the request's ticket.
    TicketHome(TargetKey),
}

/// The stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RequestStage {
    /// It waits for a slot, or for its next attempt to start.
    Waiting,
    /// The connection is being opened; this attempt has sent nothing.
    Opening(RunPlace),
    /// Past the point of no return: the request may have arrived.
    Sent(RunPlace),
    /// The head of the answer has arrived.
    Answering(RunPlace),
    /// Complete; further events are ignored.
    Closed,
}
