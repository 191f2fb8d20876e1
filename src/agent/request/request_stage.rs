use serde::Serialize;

use crate::key::TargetKey;

/// Where a request runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RunPlace {
    /// At the own upstream.
    Own,
    /// At a peer that granted a slot or is tried after a failure.
    Peer(TargetKey),
    /// At the agent that answers for the request's ticket.
    TicketHome(TargetKey),
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RequestStage {
    /// It waits for a slot; nothing has been sent anywhere.
    Waiting,
    /// A connection to the place is being made; nothing has been sent.
    Opening(RunPlace),
    /// The point of no return is passed: bytes may have reached the place.
    Sent(RunPlace),
    /// The head of the answer went to the caller.
    Answering(RunPlace),
    /// Nothing more happens.
    Closed,
}
