use std::{collections::BTreeMap, net::SocketAddrV4};

use crate::control::{
    api::{ControlStatus, WatcherName, WatcherStatus},
    client::ControlClient,
};

/// The watchers of every replica that answered.
///
/// Each replica knows only those that watch its own feed, so all are asked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct GroupView {
    watchers: BTreeMap<WatcherName, WatcherStatus>,
    hidden: usize,
    silent: Vec<SocketAddrV4>,
}

impl GroupView {
    /// Asks each replica that the client knows for its watchers.
    pub(crate) async fn ask(client: &ControlClient) -> Self {
        let mut view = Self::default();
        for address in client.addresses() {
            match client.status_at(*address).await {
                Ok(status) => view.add(status),
                Err(_) => view.silent.push(*address),
            }
        }
        view
    }

    /// Adds what one replica answered.
    pub(crate) fn add(&mut self, status: ControlStatus) {
        self.hidden += status.watcher_count.saturating_sub(status.watchers.len());
        for watcher in status.watchers {
            self.add_watcher(watcher);
        }
    }

    /// Returns each watcher once, as it was heard last.
    pub(crate) fn watchers(&self) -> impl Iterator<Item = &WatcherStatus> {
        self.watchers.values()
    }

    /// Returns the count of watchers that replicas left out of their lists.
    ///
    /// None of them lags further than the listed ones.
    pub(crate) const fn hidden(&self) -> usize {
        self.hidden
    }

    /// Returns the replicas that did not answer.
    pub(crate) fn silent(&self) -> &[SocketAddrV4] {
        &self.silent
    }

    /// A watcher that changed replica is known to both; the latest word counts.
    pub(super) fn add_watcher(&mut self, watcher: WatcherStatus) {
        match self.watchers.get(&watcher.name) {
            Some(known) if known.silent_millis <= watcher.silent_millis => {}
            _ => {
                self.watchers.insert(watcher.name.clone(), watcher);
            }
        }
    }
}
