use std::{cmp::Ordering, collections::BinaryHeap};

use super::{ConnectionKey, FaultKind, ModelMessage, ModelMicros, RequestKey};

/// Something that the model does at a time.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ModelEvent {
    /// Some caller starts a burst of requests.
    Burst,
    /// The next request of a burst, with the number that follows it.
    BurstRequest(ConnectionKey, u32),
    /// A caller connects.
    Connect,
    /// A connection ends, unless it was renewed meanwhile.
    Close(ConnectionKey, u32),
    /// A caller that was asked to move connects anew.
    Reconnect(ConnectionKey),
    /// A request leaves its slot.
    Finish {
        /// Where it ran.
        target: usize,
        /// The request.
        request: RequestKey,
        /// The run of the target in which it began.
        epoch: u32,
    },
    /// A message arrives.
    Deliver(ModelMessage),
    /// A granted slot was held for long enough.
    HoldEnds(usize, RequestKey),
    /// A request stops waiting for probe replies.
    ProbeEnds(RequestKey),
    /// An idle target looks for work again.
    StealAgain(usize),
    /// All targets report their load.
    Report,
    /// A caller lost patience with a request.
    PatienceEnds(RequestKey),
    /// A target that warms up reaches full speed.
    WarmEnds(usize),
    /// The next candidate of a chain gets the offer of a connection.
    OfferAgain(ConnectionKey, usize),
    /// A resent request arrives, by its place among the resent ones.
    Resend(usize),
    /// Balancers and peers learn whether a target takes part.
    Listed(usize, bool),
    /// Something happens to the system.
    Fault(FaultKind),
}

/// The events to come, in the order of their time and then of their entry.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<QueuedEvent>,
    entered: u64,
}

#[derive(Debug)]
struct QueuedEvent {
    at: ModelMicros,
    entry: u64,
    event: ModelEvent,
}

impl EventQueue {
    /// Adds an event.
    pub(crate) fn push(&mut self, at: ModelMicros, event: ModelEvent) {
        self.entered += 1;
        let entry = self.entered;
        self.heap.push(QueuedEvent { at, entry, event });
    }

    /// Takes the next event and its time.
    pub(crate) fn pop(&mut self) -> Option<(ModelMicros, ModelEvent)> {
        self.heap.pop().map(|queued| (queued.at, queued.event))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.entry).cmp(&(self.at, self.entry))
    }
}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.entry == other.entry
    }
}

impl Eq for QueuedEvent {}
