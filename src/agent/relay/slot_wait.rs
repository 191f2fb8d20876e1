use std::sync::Arc;

use tokio::sync::oneshot;

use super::RequestDesk;
use crate::agent::{
    claim::PeerGrant,
    slot::{SlotKey, SlotRefusal, WaiterKey},
};

/// How a wait for a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitEnd {
    /// An own slot is held.
    Slot(SlotKey),
    /// A peer's slot is held.
    Peer(PeerGrant),
    /// No slot can be had in time.
    Refused(SlotRefusal),
}

/// A place in the queue; dropping it leaves the queue.
#[derive(Debug)]
pub(super) struct SlotWait {
    desk: Arc<RequestDesk>,
    waiter: Option<WaiterKey>,
    end: oneshot::Receiver<WaitEnd>,
}

impl SlotWait {
    pub(super) fn new(
        desk: Arc<RequestDesk>,
        waiter: Option<WaiterKey>,
        end: oneshot::Receiver<WaitEnd>,
    ) -> Self {
        Self { desk, waiter, end }
    }

    /// Waits for the end; nothing if the desk is gone.
    pub(super) async fn end(&mut self) -> Option<WaitEnd> {
        let end = (&mut self.end).await.ok();
        self.waiter = None;
        end
    }
}

impl Drop for SlotWait {
    fn drop(&mut self) {
        if let Some(waiter) = self.waiter {
            self.desk.leave_queue(waiter);
        }
        // A slot may have been granted in the meantime.
        if let Ok(WaitEnd::Slot(slot)) = self.end.try_recv() {
            self.desk.release(slot);
        }
    }
}

/// A held slot; dropping it gives it back.
#[derive(Debug)]
pub(super) struct SlotPermit {
    desk: Arc<RequestDesk>,
    slot: SlotKey,
}

impl SlotPermit {
    pub(super) fn new(desk: Arc<RequestDesk>, slot: SlotKey) -> Self {
        Self { desk, slot }
    }

    /// Returns the key of the slot.
    pub(super) fn slot(&self) -> SlotKey {
        self.slot
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.desk.release(self.slot);
    }
}

/// An open stream; dropping it counts one less.
#[derive(Debug)]
pub(super) struct StreamPermit {
    desk: Arc<RequestDesk>,
}

impl StreamPermit {
    pub(super) fn new(desk: Arc<RequestDesk>) -> Self {
        Self { desk }
    }
}

impl Drop for StreamPermit {
    fn drop(&mut self) {
        self.desk.close_stream();
    }
}
