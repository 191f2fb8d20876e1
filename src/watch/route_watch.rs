use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use arc_swap::ArcSwap;
use tokio::sync::watch;

use super::WatchEvent;
use crate::{
    clock::SpanMillis,
    control::{
        api::{FeedReply, WatchRequest, WatchScope, WatcherName},
        client::ControlClient,
    },
    event::log_event,
    key::{FailureDomain, FeedRevision},
    route::{RouteError, RouteTable},
};

/// How long control may hold a reply while nothing changes.
const WATCH_WAIT_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// The pause after a failed call.
const RETRY_MILLIS: SpanMillis = SpanMillis::new(200);

/// The route table of a process and whether control confirms it.
#[derive(Debug)]
pub(crate) struct WatchState {
    table: Arc<ArcSwap<RouteTable>>,
    connected: AtomicBool,
    changed: watch::Sender<FeedRevision>,
}

impl WatchState {
    /// Creates the state with an empty route table.
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            table: Arc::new(ArcSwap::from_pointee(RouteTable::new())),
            connected: AtomicBool::new(false),
            changed: watch::Sender::new(FeedRevision::EMPTY),
        })
    }

    /// Returns the route table, for the packet path.
    pub(crate) fn table(&self) -> &Arc<ArcSwap<RouteTable>> {
        &self.table
    }

    /// Returns whether the last call of the feed succeeded.
    pub(crate) fn is_connected(&self) -> bool {
        self.connected.load(Ordering::Relaxed)
    }

    /// Returns a receiver that is notified of changes of the routes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<FeedRevision> {
        self.changed.subscribe()
    }

    /// Replaces the route table and notifies subscribers.
    fn store(&self, table: RouteTable) {
        let revision = table.revision();
        self.table.store(Arc::new(table));
        self.changed.send_replace(revision);
    }

    /// Records whether control answers; returns whether that changed.
    fn set_connected(&self, connected: bool) -> bool {
        self.connected.swap(connected, Ordering::Relaxed) != connected
    }
}

/// Follows control's feed for one process.
#[derive(Debug)]
pub(crate) struct RouteWatch {
    client: ControlClient,
    watcher: WatcherName,
    domain: FailureDomain,
    scope: WatchScope,
    state: Arc<WatchState>,
}

impl RouteWatch {
    /// Creates a watch that keeps `state` up to date.
    pub(crate) fn new(
        client: ControlClient,
        watcher: WatcherName,
        domain: FailureDomain,
        scope: WatchScope,
        state: Arc<WatchState>,
    ) -> Self {
        Self {
            client,
            watcher,
            domain,
            scope,
            state,
        }
    }

    /// Follows the feed until the task is dropped.
    ///
    /// While control is unreachable, the routes in force stay.
    pub(crate) async fn run(self) {
        loop {
            let request = WatchRequest {
                watcher: self.watcher.clone(),
                domain: self.domain.clone(),
                scope: self.scope.clone(),
                in_force: self.state.table.load().revision(),
                wait: WATCH_WAIT_MILLIS,
            };
            match self.client.watch(&request).await {
                Ok(reply) => {
                    if self.state.set_connected(true) {
                        log_event!(info, WatchEvent::FeedFound);
                    }
                    self.apply_reply(reply);
                }
                Err(error) => {
                    if self.state.set_connected(false) {
                        log_event!(warn, WatchEvent::FeedLost, %error);
                    }
                    tokio::time::sleep(RETRY_MILLIS.duration()).await;
                }
            }
        }
    }

    fn apply_reply(&self, reply: FeedReply) {
        let mut table = RouteTable::clone(&self.state.table.load());
        let was_empty = table.revision() == FeedRevision::EMPTY;
        if let Err(error) = update_table(&mut table, reply) {
            log_event!(error, WatchEvent::UpdateRefused, %error);
            return;
        }
        if was_empty && table.revision() != FeedRevision::EMPTY {
            let revision = table.revision();
            log_event!(info, WatchEvent::FirstRoutes, %revision);
        }
        self.state.store(table);
    }
}

/// Applies control's reply to `table`.
fn update_table(table: &mut RouteTable, reply: FeedReply) -> Result<(), RouteError> {
    match reply {
        FeedReply::Unchanged { revision } => {
            table.advance_to(revision);
            Ok(())
        }
        FeedReply::Delta(delta) => table.apply_delta(&delta),
        FeedReply::Snapshot(snapshot) => table.apply_snapshot(snapshot),
    }
}
