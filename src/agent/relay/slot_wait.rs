use std::sync::Arc;

use tokio::sync::oneshot;

use super::RequestCoordinator;
use crate::agent::{
    claim::PeerGrant,
    slot::{SlotKey, SlotRefusal, WaiterKey},
};

/// How a wait for a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitOutcome {
    /// A local slot was granted.
    Slot(SlotKey),
    /// A peer granted one of its slots.
    Peer(PeerGrant),
    /// No slot will be free in time.
    Refused(SlotRefusal),
}

/// A wait for a slot; dropping it leaves the queue.
#[derive(Debug)]
pub(super) struct SlotWait {
    coordinator: Arc<RequestCoordinator>,
    waiter: Option<WaiterKey>,
    outcome: oneshot::Receiver<WaitOutcome>,
}

impl SlotWait {
    pub(super) fn new(
        coordinator: Arc<RequestCoordinator>,
        waiter: Option<WaiterKey>,
        outcome: oneshot::Receiver<WaitOutcome>,
    ) -> Self {
        Self {
            coordinator,
            waiter,
            outcome,
        }
    }

    /// Waits for the outcome; `None` if the coordinator is gone.
    pub(super) async fn outcome(&mut self) -> Option<WaitOutcome> {
        let outcome = (&mut self.outcome).await.ok();
        self.waiter = None;
        outcome
    }
}

impl Drop for SlotWait {
    fn drop(&mut self) {
        if let Some(waiter) = self.waiter {
            self.coordinator.leave_queue(waiter);
        }
        // Releases a slot that was granted but not yet received.
        if let Ok(WaitOutcome::Slot(slot)) = self.outcome.try_recv() {
            self.coordinator.release(slot);
        }
    }
}

/// A held slot; dropping it releases the slot.
#[derive(Debug)]
pub(super) struct SlotPermit {
    coordinator: Arc<RequestCoordinator>,
    slot: SlotKey,
}

impl SlotPermit {
    pub(super) fn new(coordinator: Arc<RequestCoordinator>, slot: SlotKey) -> Self {
        Self { coordinator, slot }
    }

    /// Returns the key of the slot.
    pub(super) fn slot(&self) -> SlotKey {
        self.slot
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.coordinator.release(self.slot);
    }
}

/// An open stream; dropping it frees its place within the limit.
#[derive(Debug)]
pub(super) struct StreamPermit {
    coordinator: Arc<RequestCoordinator>,
}

impl StreamPermit {
    pub(super) fn new(coordinator: Arc<RequestCoordinator>) -> Self {
        Self { coordinator }
    }
}

impl Drop for StreamPermit {
    fn drop(&mut self) {
        self.coordinator.close_stream();
    }
}
