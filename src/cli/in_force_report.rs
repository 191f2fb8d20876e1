use std::{fmt, net::SocketAddrV4};

use serde::Serialize;

use super::GroupWatchers;
use crate::{
    control::api::{ControlStatus, WatcherName, WatcherStatus},
    key::FeedRevision,
};

/// Which balancers have a revision in force and which ones lag behind it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct InForceReport {
    /// The revision that the report is about.
    pub(crate) revision: FeedRevision,
    /// Whether there is at least one balancer and all known ones have it in force.
    pub(crate) everywhere: bool,
    /// The balancers that have the revision in force.
    pub(crate) in_force: Vec<BalancerProgress>,
    /// The balancers that don't have it in force yet.
    pub(crate) lagging: Vec<BalancerProgress>,
    /// The number of watchers left out of the replicas' lists; none lags further
    /// behind than the listed ones.
    pub(crate) unlisted: usize,
    /// The replicas that did not answer; their watchers are not counted.
    pub(crate) silent_replicas: Vec<SocketAddrV4>,
}

/// The progress of one balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct BalancerProgress {
    /// The balancer's name from its settings.
    pub(crate) name: String,
    /// The failure domain it runs in.
    pub(crate) domain: String,
    /// The revision that it reported as in force.
    pub(crate) revision: FeedRevision,
    /// The time since its last report in milliseconds.
    pub(crate) silent_millis: u64,
}

impl InForceReport {
    /// Returns the report on the manifest in force; `None` if none was accepted, since
    /// every balancer is at its revision, zero, then.
    pub(crate) fn of_manifest(watchers: &GroupWatchers, status: &ControlStatus) -> Option<Self> {
        status.manifest_digest?;
        Some(Self::new(watchers, status.manifest_revision))
    }

    /// Splits the balancers by whether they have `revision` in force.
    pub(crate) fn new(watchers: &GroupWatchers, revision: FeedRevision) -> Self {
        let balancers = watchers.watchers().filter_map(BalancerProgress::new);
        let (in_force, lagging): (Vec<_>, Vec<_>) =
            balancers.partition(|balancer| balancer.revision >= revision);
        // An unlisted watcher is at least as far ahead as every listed one.
        let is_complete = watchers.unlisted() == 0
            || watchers
                .watchers()
                .all(|watcher| watcher.in_force >= revision);
        Self {
            revision,
            everywhere: lagging.is_empty() && !in_force.is_empty() && is_complete,
            in_force,
            lagging,
            unlisted: watchers.unlisted(),
            silent_replicas: watchers.silent_replicas().to_vec(),
        }
    }
}

impl BalancerProgress {
    /// Returns the progress of a balancer, or `None` for other watchers.
    fn new(watcher: &WatcherStatus) -> Option<Self> {
        match &watcher.name {
            WatcherName::Balancer(name) => Some(Self {
                name: name.clone(),
                domain: watcher.domain.to_string(),
                revision: watcher.in_force,
                silent_millis: watcher.silent_millis,
            }),
            WatcherName::Agent(_) => None,
        }
    }
}

impl fmt::Display for InForceReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total = self.in_force.len() + self.lagging.len();
        if total == 0 {
            writeln!(formatter, "no balancer watches control")?;
        } else {
            let count = self.in_force.len();
            let revision = self.revision;
            writeln!(
                formatter,
                "{revision} in force on {count} of {total} balancers"
            )?;
        }
        for balancer in &self.lagging {
            writeln!(
                formatter,
                "  lagging: {} in {} at {}, last heard {} ms ago",
                balancer.name, balancer.domain, balancer.revision, balancer.silent_millis
            )?;
        }
        for address in &self.silent_replicas {
            writeln!(
                formatter,
                "  replica {address} does not answer; balancers that watch it are not counted"
            )?;
        }
        if self.unlisted > 0 {
            writeln!(
                formatter,
                "  {} more watchers are not listed; none lags further behind",
                self.unlisted
            )?;
        }
        Ok(())
    }
}
