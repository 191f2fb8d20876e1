use std::collections::{BTreeSet, HashMap};

use tokio::sync::watch;

use super::FeedScope;
use crate::{
    control::state::FeedChange,
    key::{FeedRevision, ServiceNumber},
};

/// Wakes only the watchers whose scope a change affects.
#[derive(Debug)]
pub(crate) struct FeedNotifier {
    all: watch::Sender<FeedRevision>,
    services: HashMap<ServiceNumber, watch::Sender<FeedRevision>>,
}

impl FeedNotifier {
    /// Creates a notifier without watchers.
    pub(crate) fn new(revision: FeedRevision) -> Self {
        Self {
            all: watch::Sender::new(revision),
            services: HashMap::new(),
        }
    }

    /// Returns a receiver that is notified when `scope` may have changed.
    pub(crate) fn subscribe(&mut self, scope: FeedScope) -> watch::Receiver<FeedRevision> {
        match scope {
            FeedScope::All => self.all.subscribe(),
            FeedScope::Service(service) => self
                .services
                .entry(service)
                .or_insert_with(|| watch::Sender::new(FeedRevision::EMPTY))
                .subscribe(),
        }
    }

    /// Wakes the watchers of all services, and those of the services that `changes` affect.
    pub(crate) fn notify(&mut self, revision: FeedRevision, changes: &[FeedChange]) {
        self.all.send_replace(revision);
        let services: BTreeSet<ServiceNumber> = changes
            .iter()
            .flat_map(|change| std::iter::once(change.service).chain(change.previous_service))
            .collect();
        for service in services {
            self.notify_service(revision, service);
        }
    }

    /// Wakes every watcher.
    pub(crate) fn notify_all(&mut self, revision: FeedRevision) {
        self.all.send_replace(revision);
        self.services.retain(|_, sender| {
            sender.send_replace(revision);
            sender.receiver_count() > 0
        });
    }

    fn notify_service(&mut self, revision: FeedRevision, service: ServiceNumber) {
        let Some(sender) = self.services.get(&service) else {
            return;
        };
        sender.send_replace(revision);
        if sender.receiver_count() == 0 {
            self.services.remove(&service);
        }
    }
}
