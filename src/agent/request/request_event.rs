use crate::{
    agent::{
        retry::AttemptFailure,
        slot::{SlotKey, SlotRefusal},
    },
    key::TargetKey,
};

/// How a caller went away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerDeparture {
    /// It cancelled the request.
    Cancelled,
    /// Its connection broke.
    Lost,
    /// It went, and others wait for the run under the same ticket.
    OthersWait,
}

/// What happens to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestEvent {
    /// It holds one of the own slots.
    SlotGranted(SlotKey),
    /// A peer granted one of its slots.
    PeerGranted(TargetKey),
    /// It gets no slot.
    SlotRefused(SlotRefusal),
    /// The connection to its place is open.
    Connected,
    /// The slot that a peer granted is lost; nothing ran there.
    GrantLost,
    /// The attempt failed before the head of an answer came.
    AttemptFailed(AttemptFailure),
    /// The head of the answer came.
    AnswerHead,
    /// The answer came to its end.
    AnswerEnd,
    /// The answer broke off after its head.
    AnswerBroken,
    /// The caller went away.
    CallerLeft(CallerDeparture),
    /// The deadline passed.
    Deadline,
    /// The agent is told to cut what is open.
    Cut,
}
