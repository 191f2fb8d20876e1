use crate::{
    clock::{ClockMillis, SpanMillis},
    manifest::RequestPriority,
};

slotmap::new_key_type! {
    /// Names a slot while it is held.
    pub(crate) struct SlotKey;
    /// Names a request while it waits for a slot.
    pub(crate) struct WaiterKey;
}

/// Whose request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotOrigin {
    /// A request of an own caller.
    Own,
    /// A peer's claim; its request waits elsewhere too.
    Peer,
}

/// What a request asks of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SlotRequest {
    /// The place in the queue.
    pub(crate) priority: RequestPriority,
    /// When the answer must be there.
    pub(crate) deadline: ClockMillis,
    /// Whose request it is.
    pub(crate) origin: SlotOrigin,
}

/// The answer to a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotVerdict {
    /// The request holds a slot and runs now.
    Run(SlotKey),
    /// The request waits; a later event starts or refuses it.
    Wait(WaiterKey),
    /// The request is given up at once and never runs.
    Refuse(SlotRefusal),
}

/// Why a request got no slot, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SlotRefusal {
    /// What stood in the way.
    pub(crate) cause: RefusalCause,
    /// The time after which a slot is likely.
    pub(crate) retry_after: SpanMillis,
}

/// What stood in the way of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum RefusalCause {
    /// As many requests wait as are allowed.
    QueueFull,
    /// It can't start early enough to finish before its deadline.
    DeadlineTooNear,
    /// It waited, and a more urgent request took its place in a full queue.
    Displaced,
}

/// What becomes of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotEvent {
    /// It holds a slot and runs now.
    Started {
        /// The request that waited.
        waiter: WaiterKey,
        /// The slot that it holds.
        slot: SlotKey,
    },
    /// It is given up at once and never runs.
    Refused {
        /// The request that waited.
        waiter: WaiterKey,
        /// Why, and when to come back.
        refusal: SlotRefusal,
    },
}
