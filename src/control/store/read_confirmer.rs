use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval, timeout},
};

use super::ControlStore;
use crate::{clock::SpanMillis, control::api::CallRefusal, key::FeedRevision};

/// The timeout of one confirmation by a majority.
const CONFIRM_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// The time between two confirmations without requests.
const IDLE_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// The maximum number of reads that wait for the next confirmation; further ones are refused.
const MAX_PENDING_READS: usize = 32_768;

type Confirmation = Result<FeedRevision, CallRefusal>;

/// Confirms many reads at once with one round trip to a majority.
///
/// It also confirms without requests, so that watchers waiting at a replica that lost the
/// majority notice it and can turn to another one.
#[derive(Debug, Clone)]
pub(crate) struct ReadConfirmer {
    requests: mpsc::Sender<oneshot::Sender<Confirmation>>,
    status: watch::Receiver<bool>,
}

impl ReadConfirmer {
    /// Spawns the confirming task; must be called within a Tokio runtime.
    pub(crate) fn start(store: ControlStore) -> Self {
        let (requests, receiver) = mpsc::channel(MAX_PENDING_READS);
        let (sender, status) = watch::channel(true);
        tokio::spawn(confirm_reads(store, receiver, sender));
        Self { requests, status }
    }

    /// Waits for a confirmation that starts after the call; returns the confirmed revision.
    ///
    /// # Errors
    ///
    /// Fails when no majority confirms in time, or when too many reads wait.
    pub(crate) async fn confirm(&self) -> Confirmation {
        let (sender, receiver) = oneshot::channel();
        self.requests
            .try_send(sender)
            .map_err(|_| CallRefusal::NoQuorum)?;
        receiver.await.unwrap_or(Err(CallRefusal::NoQuorum))
    }

    /// Returns a receiver of whether the last confirmation succeeded; true before the first.
    pub(crate) fn confirmation_status(&self) -> watch::Receiver<bool> {
        self.status.clone()
    }
}

async fn confirm_reads(
    store: ControlStore,
    mut receiver: mpsc::Receiver<oneshot::Sender<Confirmation>>,
    status: watch::Sender<bool>,
) {
    let mut idle = interval(IDLE_INTERVAL_MILLIS.duration());
    idle.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut requests = Vec::new();
    loop {
        tokio::select! {
            count = receiver.recv_many(&mut requests, MAX_PENDING_READS) => {
                if count == 0 {
                    return;
                }
            }
            _ = idle.tick() => {}
        }
        let confirmation = timeout(CONFIRM_TIMEOUT_MILLIS.duration(), store.confirm_read())
            .await
            .unwrap_or(Err(CallRefusal::NoQuorum));
        status.send_if_modified(|was| {
            let is = confirmation.is_ok();
            std::mem::replace(was, is) != is
        });
        for request in requests.drain(..) {
            // The caller may have stopped waiting.
            let _ = request.send(confirmation.clone());
        }
    }
}
