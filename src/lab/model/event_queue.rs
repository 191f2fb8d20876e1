use std::{cmp::Ordering, collections::BinaryHeap};

use super::{CallerKey, FaultKind, ModelMessage, ModelMicros, RequestKey};

/// A scheduled step of the simulation.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ModelEvent {
    /// A random caller starts a burst of requests.
    Burst,
    /// The next request of a burst, with the number of requests remaining after it.
    BurstRequest(CallerKey, u32),
    /// A caller connects.
    Connect,
    /// A connection closes, unless the caller has a newer one than this generation.
    Close(CallerKey, u32),
    /// A caller opens a new connection.
    Reconnect(CallerKey),
    /// A request finishes and frees its slot.
    Finish {
        /// Where it ran.
        target: usize,
        /// The request.
        request: RequestKey,
        /// The epoch of the target in which it started.
        epoch: u32,
    },
    /// A message arrives.
    Deliver(ModelMessage),
    /// The hold time of a granted slot is over.
    HoldExpired(usize, RequestKey),
    /// A request no longer waits for probe replies.
    ProbeTimeout(RequestKey),
    /// An idle target may try to steal a request again.
    StealRetry(usize),
    /// All targets report their load.
    ReportLoads,
    /// A caller has waited too long for an answer.
    CallerTimeout(RequestKey),
    /// A warming target reaches full speed.
    WarmUpEnded(usize),
    /// The first packet of a connection goes to the candidate with this index.
    NextCandidate(CallerKey, usize),
    /// A resent request arrives; the index is into `LabModel::resends`.
    Resend(usize),
    /// Balancers and peers learn whether a target is available.
    ListingChanged(usize, bool),
    /// A fault or a load change starts.
    Fault(FaultKind),
}

/// Pending events, ordered by time, then by insertion.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<QueuedEvent>,
    last_sequence: u64,
}

#[derive(Debug)]
struct QueuedEvent {
    at: ModelMicros,
    sequence: u64,
    event: ModelEvent,
}

impl EventQueue {
    /// Adds an event.
    pub(crate) fn push(&mut self, at: ModelMicros, event: ModelEvent) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.heap.push(QueuedEvent {
            at,
            sequence,
            event,
        });
    }

    /// Removes the next event and returns it with its time.
    pub(crate) fn pop(&mut self) -> Option<(ModelMicros, ModelEvent)> {
        self.heap.pop().map(|queued| (queued.at, queued.event))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for QueuedEvent {}
