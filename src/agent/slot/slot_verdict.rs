use crate::{
    clock::{ClockMillis, SpanMillis},
    manifest::RequestPriority,
};

slotmap::new_key_type! {
    /// Key of an occupied slot.
    pub(crate) struct SlotKey;
    /// Key of a request that waits for a slot.
    pub(crate) struct WaiterKey;
}

/// Where a request for a slot comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotOrigin {
    /// A caller of this agent.
    Local,
    /// A claim of a peer; its request also waits at that peer.
    Peer,
}

/// A request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SlotRequest {
    /// Decides the order in the queue.
    pub(crate) priority: RequestPriority,
    /// The deadline for the answer.
    pub(crate) deadline: ClockMillis,
    /// Where it comes from.
    pub(crate) origin: SlotOrigin,
}

/// The result of a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotVerdict {
    /// The request has a slot and runs now.
    Run(SlotKey),
    /// The request waits; a later [`SlotEvent`] starts or refuses it.
    Wait(WaiterKey),
    /// The request is refused and never runs.
    Refuse(SlotRefusal),
}

/// Why a request got no slot, and when to try again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SlotRefusal {
    /// Why it was refused.
    pub(crate) cause: RefusalCause,
    /// The estimated time until a slot is free.
    pub(crate) retry_after: SpanMillis,
}

/// Why a request got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum RefusalCause {
    /// The queue is full.
    QueueFull,
    /// It is not expected to finish before its deadline.
    DeadlineTooNear,
    /// A more urgent request displaced it from the full queue.
    Displaced,
}

/// What happened to a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotEvent {
    /// It has a slot and runs now.
    Started {
        /// The request that waited.
        waiter: WaiterKey,
        /// Its slot.
        slot: SlotKey,
    },
    /// It is refused and never runs.
    Refused {
        /// The request that waited.
        waiter: WaiterKey,
        /// Why, and when to try again.
        refusal: SlotRefusal,
    },
}
