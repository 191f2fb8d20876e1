use super::{CallerKey, RequestKey};
use crate::agent::admission::TargetLoad;

/// A message between the agents of two targets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ModelMessage {
    /// The index of the sending target.
    pub(crate) from: usize,
    /// The index of the receiving target.
    pub(crate) to: usize,
    /// The content.
    pub(crate) kind: MessageKind,
}

/// The content of a message between agents.
#[derive(Debug, Clone, Copy)]
pub(crate) enum MessageKind {
    /// Asks for a slot for a request that waits at the sender.
    Claim(RequestKey),
    /// Offers a slot held for the request.
    Grant(RequestKey),
    /// Turns down a granted slot, which is released.
    Decline(RequestKey),
    /// Withdraws a claim.
    Cancel(RequestKey),
    /// The request itself, to run in the granted slot.
    Start(RequestKey),
    /// The slot was no longer held; the request did not run.
    NotHeld(RequestKey),
    /// Asks for the queue length.
    Probe(RequestKey),
    /// The queue length.
    ProbeReply(RequestKey, usize),
    /// The request itself, to queue at the receiver.
    Enqueue(RequestKey),
    /// Asks for a waiting request on behalf of an idle agent.
    Steal,
    /// The request itself, moved to the idle agent.
    StolenRequest(RequestKey),
    /// The first packet of a new connection, sent to one of its candidates.
    FirstPacket(CallerKey),
    /// Asks the next candidate for its load.
    LoadProbe(CallerKey),
    /// The load of the next candidate.
    LoadReply(CallerKey, TargetLoad),
}

impl MessageKind {
    /// Returns whether a lost message is retransmitted.
    ///
    /// Messages that carry a request or a connection go over a stream or are resent by the
    /// caller; the short ones are single datagrams.
    pub(crate) const fn is_reliable(self) -> bool {
        matches!(
            self,
            Self::Start(_)
                | Self::Enqueue(_)
                | Self::StolenRequest(_)
                | Self::NotHeld(_)
                | Self::FirstPacket(_)
                | Self::LoadProbe(_)
                | Self::LoadReply(..)
        )
    }
}
