//! Concurrency slots of the target, the queue for them, and limits on open connections and
//! streams.

mod open_limiter;
mod service_time;
mod slot_limits;
mod slot_queue;
mod slot_verdict;
mod wait_queue;

pub(crate) use open_limiter::{OpenLimiter, OpenVerdict};
pub(crate) use service_time::ServiceTime;
pub(crate) use slot_limits::SlotLimits;
pub(crate) use slot_queue::{QueueCounts, SlotQueue};
pub(crate) use slot_verdict::{
    RefusalCause, SlotEvent, SlotKey, SlotOrigin, SlotRefusal, SlotRequest, SlotVerdict, WaiterKey,
};

#[cfg(test)]
mod tests;
