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

/// The longest time to hold back a reply while there are no changes.
const MAX_WAIT_MILLIS: SpanMillis = SpanMillis::new(30_000);

/// The reply to a watcher; changes are encoded once for all watchers with the same reply.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub(crate) enum WatchReply {
    /// No changes after the watcher's revision.
    #[serde(rename = "Idle")]
    Unchanged(FeedReply),
    /// A delta or a snapshot, already encoded.
    #[serde(rename = "News")]
    Encoded(#[serde(serialize_with = "serialize_raw")] Arc<RawValue>),
}

fn serialize_raw<S: Serializer>(text: &Arc<RawValue>, serializer: S) -> Result<S::Ok, S::Error> {
    text.as_ref().serialize(serializer)
}

impl ControlService {
    /// Returns the changes after the watcher's revision, waiting for them.
    ///
    /// # Errors
    ///
    /// Fails when this replica can't confirm that its state is current, or when
    /// it is behind the watcher.
    pub(crate) async fn watch(&self, request: WatchRequest) -> Result<WatchReply, CallRefusal> {
        let now = self.clock.now();
        let (watcher, in_force) = (&request.watcher, request.in_force);
        self.watchers()
            .record_call(watcher, &request.domain, in_force, now)?;
        let wait = request.wait.min(MAX_WAIT_MILLIS).duration();
        let deadline = Instant::now() + wait;
        let mut status = self.confirmer.confirmation_status();
        self.confirmer.confirm().await?;
        let scope = self.state.scope(&request.scope)?;
        let mut revisions = self.state.subscribe(scope);
        loop {
            revisions.borrow_and_update();
            let answer = self.state.answer(scope, in_force);
            let timed_out = Instant::now() >= deadline;
            match answer {
                FeedAnswer::Update(reply) => {
                    if self.wait_for_budget(&request).await {
                        // Picks up changes that arrived during the delay.
                        continue;
                    }
                    return Ok(self.encoded_reply(&request, reply));
                }
                FeedAnswer::Unchanged(_) if timed_out => {
                    return self.confirm_unchanged(&request, scope).await;
                }
                FeedAnswer::Behind if timed_out => return Err(CallRefusal::NoQuorum),
                FeedAnswer::Unchanged(_) | FeedAnswer::Behind => {}
            }
            tokio::select! {
                _ = revisions.changed() => {}
                () = sleep_until(deadline) => {}
                () = until_unconfirmed(&mut status) => return Err(CallRefusal::NoQuorum),
            }
        }
    }

    /// Waits until the watcher's byte budget allows a reply; returns whether it waited.
    async fn wait_for_budget(&self, request: &WatchRequest) -> bool {
        let delay = self
            .watchers()
            .reply_delay(&request.watcher, self.clock.now());
        if delay == SpanMillis::ZERO {
            return false;
        }
        tokio::time::sleep(delay.duration().max(Duration::from_millis(1))).await;
        true
    }

    fn encoded_reply(&self, request: &WatchRequest, reply: EncodedReply) -> WatchReply {
        let now = self.clock.now();
        self.watchers().charge(&request.watcher, reply.bytes(), now);
        WatchReply::Encoded(reply.text)
    }

    /// Replies after a confirmed read, usually that nothing has changed.
    async fn confirm_unchanged(
        &self,
        request: &WatchRequest,
        scope: FeedScope,
    ) -> Result<WatchReply, CallRefusal> {
        self.confirmer.confirm().await?;
        match self.state.answer(scope, request.in_force) {
            FeedAnswer::Unchanged(revision) => {
                let now = self.clock.now();
                self.watchers().charge(&request.watcher, 0, now);
                Ok(WatchReply::Unchanged(FeedReply::Unchanged { revision }))
            }
            FeedAnswer::Update(reply) => Ok(self.encoded_reply(request, reply)),
            FeedAnswer::Behind => Err(CallRefusal::NoQuorum),
        }
    }
}

/// Completes when this replica can no longer confirm that its state is current.
async fn until_unconfirmed(status: &mut watch::Receiver<bool>) {
    // An error means that the confirmer has stopped, so nothing can be confirmed either.
    let _ = status.wait_for(|current| !*current).await;
}
