use std::{sync::Arc, time::Duration};

use serde::{Serialize, Serializer};
use serde_json::value::RawValue;
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

use super::ControlService;
use crate::{
    clock::SpanMillis,
    control::{
        api::{CallRefusal, FeedReply, WatchRequest},
        feed::{EncodedReply, FeedAnswer, FeedScope},
    },
};

/// The longest time that an answer waits for news.
const MOST_WAIT_MILLIS: SpanMillis = SpanMillis::new(30_000);

/// The answer to a watcher; news are encoded once for all who get the same.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub(crate) enum WatchReply {
    /// Nothing came after the watcher's revision.
    Idle(FeedReply),
    /// A delta or a snapshot, encoded before.
    News(#[serde(serialize_with = "serialize_shared")] Arc<RawValue>),
}

fn serialize_shared<S: Serializer>(text: &Arc<RawValue>, serializer: S) -> Result<S::Ok, S::Error> {
    text.as_ref().serialize(serializer)
}

impl ControlService {
    /// Returns what came after the watcher's revision, waiting for it.
    ///
    /// # Errors
    ///
    /// Refuses when this replica can't confirm that it is current, and when
    /// it is behind the watcher.
    pub(crate) async fn watch(&self, request: WatchRequest) -> Result<WatchReply, CallRefusal> {
        let now = self.clock.now();
        let (watcher, in_force) = (&request.watcher, request.in_force);
        self.watchers()
            .hear(watcher, &request.domain, in_force, now)?;
        let wait = request.wait.min(MOST_WAIT_MILLIS).duration();
        let deadline = Instant::now() + wait;
        let mut current = self.confirmer.current();
        self.confirmer.confirm().await?;
        let scope = self.state.scope(&request.scope)?;
        let mut signal = self.state.subscribe(scope);
        loop {
            signal.borrow_and_update();
            let answer = self.state.answer(scope, in_force);
            let over = Instant::now() >= deadline;
            match answer {
                FeedAnswer::News(reply) => {
                    if self.pause(&request).await {
                        // More may have come meanwhile; it goes along.
                        continue;
                    }
                    return Ok(self.deliver(&request, reply));
                }
                FeedAnswer::Unchanged(_) if over => {
                    return self.confirm_idle(&request, scope).await;
                }
                FeedAnswer::Behind if over => return Err(CallRefusal::NoQuorum),
                FeedAnswer::Unchanged(_) | FeedAnswer::Behind => {}
            }
            tokio::select! {
                _ = signal.changed() => {}
                () = sleep_until(deadline) => {}
                () = cut_off(&mut current) => return Err(CallRefusal::NoQuorum),
            }
        }
    }

    /// Waits until the watcher's byte budget allows a reply; tells if it had to.
    async fn pause(&self, request: &WatchRequest) -> bool {
        let pause = self.watchers().pause(&request.watcher, self.clock.now());
        if pause == SpanMillis::ZERO {
            return false;
        }
        tokio::time::sleep(pause.duration().max(Duration::from_millis(1))).await;
        true
    }

    fn deliver(&self, request: &WatchRequest, reply: EncodedReply) -> WatchReply {
        let now = self.clock.now();
        self.watchers().charge(&request.watcher, reply.bytes(), now);
        WatchReply::News(reply.text)
    }

    /// Tells a watcher that nothing came, as of a confirmed read.
    async fn confirm_idle(
        &self,
        request: &WatchRequest,
        scope: FeedScope,
    ) -> Result<WatchReply, CallRefusal> {
        self.confirmer.confirm().await?;
        match self.state.answer(scope, request.in_force) {
            FeedAnswer::Unchanged(revision) => {
                let now = self.clock.now();
                self.watchers().charge(&request.watcher, 0, now);
                Ok(WatchReply::Idle(FeedReply::Unchanged { revision }))
            }
            FeedAnswer::News(reply) => Ok(self.deliver(request, reply)),
            FeedAnswer::Behind => Err(CallRefusal::NoQuorum),
        }
    }
}

/// Returns when this replica is no longer known to be current.
async fn cut_off(current: &mut watch::Receiver<bool>) {
    // A confirmer that is gone can't confirm either.
    let _ = current.wait_for(|current| !*current).await;
}
