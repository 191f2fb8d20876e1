use std::{collections::BTreeMap, net::SocketAddrV4};

use crate::control::{
    api::{ControlStatus, WatcherName, WatcherStatus},
    client::ControlClient,
};

/// The watchers of all control replicas that answered.
///
/// A replica knows only the watchers of its own feed, so each one is queried.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct GroupWatchers {
    watchers: BTreeMap<WatcherName, WatcherStatus>,
    unlisted: usize,
    silent_replicas: Vec<SocketAddrV4>,
}

impl GroupWatchers {
    /// Queries each replica that the client knows for its watchers.
    pub(crate) async fn query(client: &ControlClient) -> Self {
        let mut watchers = Self::default();
        for address in client.addresses() {
            match client.status_at(*address).await {
                Ok(status) => watchers.add_status(status),
                Err(_) => watchers.silent_replicas.push(*address),
            }
        }
        watchers
    }

    /// Adds the watchers in the status of one replica.
    pub(crate) fn add_status(&mut self, status: ControlStatus) {
        self.unlisted += status.watcher_count.saturating_sub(status.watchers.len());
        for watcher in status.watchers {
            self.add_watcher(watcher);
        }
    }

    /// Returns each watcher once, with its most recent report.
    pub(crate) fn watchers(&self) -> impl Iterator<Item = &WatcherStatus> {
        self.watchers.values()
    }

    /// Returns the number of watchers that the replicas omitted from their lists.
    ///
    /// None of them lags further behind than the listed ones.
    pub(crate) const fn unlisted(&self) -> usize {
        self.unlisted
    }

    /// Returns the replicas that did not answer.
    pub(crate) fn silent_replicas(&self) -> &[SocketAddrV4] {
        &self.silent_replicas
    }

    /// Adds a watcher, or replaces an older report of it.
    ///
    /// A watcher that changed replica is known to both; the more recent report counts.
    pub(super) fn add_watcher(&mut self, watcher: WatcherStatus) {
        match self.watchers.get(&watcher.name) {
            Some(known) if known.silent_millis <= watcher.silent_millis => {}
            _ => {
                self.watchers.insert(watcher.name.clone(), watcher);
            }
        }
    }
}
