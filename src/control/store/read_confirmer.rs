use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval, timeout},
};

use super::ControlStore;
use crate::{clock::SpanMillis, control::api::CallRefusal, key::FeedRevision};

/// The time within which a majority has to confirm.
const CONFIRM_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// The time between two confirmations while nobody asks.
const IDLE_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// The askers that wait for one confirmation.
const MOST_ASKERS: usize = 32_768;

type Confirmation = Result<FeedRevision, CallRefusal>;

/// Confirms reads for many askers with one round to the majority.
///
/// While nobody asks it goes on confirming, so that waiting watchers of a
/// replica that was cut off are told and can go elsewhere.
#[derive(Debug, Clone)]
pub(crate) struct ReadConfirmer {
    askers: mpsc::Sender<oneshot::Sender<Confirmation>>,
    current: watch::Receiver<bool>,
}

impl ReadConfirmer {
    /// Starts confirming; it must be called within the runtime.
    pub(crate) fn start(store: ControlStore) -> Self {
        let (askers, asked) = mpsc::channel(MOST_ASKERS);
        let (sender, current) = watch::channel(true);
        tokio::spawn(confirm_reads(store, asked, sender));
        Self { askers, current }
    }

    /// Returns the revision up to which this replica was current after the call.
    ///
    /// # Errors
    ///
    /// Refuses when no majority confirmed it in time.
    pub(crate) async fn confirm(&self) -> Confirmation {
        let (sender, receiver) = oneshot::channel();
        self.askers
            .try_send(sender)
            .map_err(|_| CallRefusal::NoQuorum)?;
        receiver.await.unwrap_or(Err(CallRefusal::NoQuorum))
    }

    /// Returns a receiver that turns false when this replica is cut off.
    pub(crate) fn current(&self) -> watch::Receiver<bool> {
        self.current.clone()
    }
}

async fn confirm_reads(
    store: ControlStore,
    mut asked: mpsc::Receiver<oneshot::Sender<Confirmation>>,
    current: watch::Sender<bool>,
) {
    let mut idle = interval(IDLE_MILLIS.duration());
    idle.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut askers = Vec::new();
    loop {
        tokio::select! {
            count = asked.recv_many(&mut askers, MOST_ASKERS) => {
                if count == 0 {
                    return;
                }
            }
            _ = idle.tick() => {}
        }
        let confirmation = timeout(CONFIRM_MILLIS.duration(), store.confirm_read())
            .await
            .unwrap_or(Err(CallRefusal::NoQuorum));
        current.send_if_modified(|was| {
            let is = confirmation.is_ok();
            std::mem::replace(was, is) != is
        });
        for asker in askers.drain(..) {
            // An asker that went away needs no answer.
            let _ = asker.send(confirmation.clone());
        }
    }
}
