use crate::{
    agent::{
        retry::AttemptFailure,
        slot::{SlotKey, SlotRefusal},
    },
    key::TargetKey,
};

/// How a caller left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerDeparture {
    /// It cancelled the request.
    Cancelled,
    /// Its connection was lost.
    Lost,
    /// It left, but other callers wait for the run under the same ticket.
    OthersWait,
}

/// An event of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestEvent {
    /// It got a local slot.
    SlotGranted(SlotKey),
    /// A peer granted one of its slots.
    PeerGranted(TargetKey),
    /// It was refused a slot.
    SlotRefused(SlotRefusal),
    /// The connection for the attempt is open.
    Connected,
    /// The peer no longer holds the granted slot; the request did not run there.
    GrantLost,
    /// The attempt failed before the head of an answer arrived.
    AttemptFailed(AttemptFailure),
    /// The head of the answer arrived.
    AnswerHead,
    /// The answer is complete.
    AnswerEnd,
    /// The answer ended early, after its head.
    AnswerTruncated,
    /// The caller left.
    CallerLeft(CallerDeparture),
    /// The deadline passed.
    Deadline,
    /// The agent aborts its open requests.
    Cut,
}
