use super::{ConnectionKey, RequestKey};
use crate::agent::admission::TargetLoad;

/// A message between two targets' agents.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ModelMessage {
    /// The sender.
    pub(crate) from: usize,
    /// The receiver.
    pub(crate) to: usize,
    /// What it says.
    pub(crate) kind: MessageKind,
}

/// What agents tell each other.
#[derive(Debug, Clone, Copy)]
pub(crate) enum MessageKind {
    /// A request waits at the sender and asks for a slot.
    Claim(RequestKey),
    /// A slot is held for the request.
    Grant(RequestKey),
    /// The granted slot isn't needed.
    Decline(RequestKey),
    /// The claim isn't needed any more.
    Cancel(RequestKey),
    /// The request itself, for the granted slot.
    Start(RequestKey),
    /// The slot of the request was no longer held; it did not run.
    NotHeld(RequestKey),
    /// Asks for the length of the queue, on behalf of a request.
    Probe(RequestKey),
    /// The length of the queue.
    ProbeReply(RequestKey, usize),
    /// The request itself, to queue at the receiver.
    Enqueue(RequestKey),
    /// An idle agent asks for a waiting request.
    Steal,
    /// The request itself, for the idle agent.
    Give(RequestKey),
    /// A new connection, offered to a candidate of its chain.
    Offer(ConnectionKey),
    /// Asks a candidate for its load.
    LoadProbe(ConnectionKey),
    /// The load of the candidate.
    LoadReply(ConnectionKey, TargetLoad),
}

impl MessageKind {
    /// Tells whether the transport resends a lost message.
    ///
    /// What carries a request or a connection goes over a stream or is resent
    /// by the caller; the small ones are single datagrams.
    pub(crate) const fn is_resent(self) -> bool {
        matches!(
            self,
            Self::Start(_)
                | Self::Enqueue(_)
                | Self::Give(_)
                | Self::NotHeld(_)
                | Self::Offer(_)
                | Self::LoadProbe(_)
                | Self::LoadReply(..)
        )
    }
}
