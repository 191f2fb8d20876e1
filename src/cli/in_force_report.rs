use std::{fmt, net::SocketAddrV4};

use serde::Serialize;

use super::GroupView;
use crate::{
    control::api::{WatcherName, WatcherStatus},
    key::FeedRevision,
};

/// On which balancers a revision is in force, and which of them lag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct InForceReport {
    /// The revision that is waited for.
    pub(crate) revision: FeedRevision,
    /// Whether every known balancer has it, and there is at least one.
    pub(crate) everywhere: bool,
    /// The balancers that have it.
    pub(crate) in_force: Vec<BalancerProgress>,
    /// The balancers that don't have it yet.
    pub(crate) lagging: Vec<BalancerProgress>,
    /// Watchers that are not listed since they are further on than those.
    pub(crate) unlisted: usize,
    /// The replicas that did not answer; their watchers are not counted.
    pub(crate) silent_replicas: Vec<SocketAddrV4>,
}

/// How far one balancer has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct BalancerProgress {
    /// The balancer's name from its settings.
    pub(crate) name: String,
    /// Where it runs.
    pub(crate) domain: String,
    /// The revision that it reported.
    pub(crate) revision: FeedRevision,
    /// The milliseconds since it was last heard.
    pub(crate) silent_millis: u64,
}

impl InForceReport {
    /// Sorts the balancers by whether `revision` is in force there.
    pub(crate) fn new(view: &GroupView, revision: FeedRevision) -> Self {
        let balancers = view.watchers().filter_map(BalancerProgress::new);
        let (in_force, lagging): (Vec<_>, Vec<_>) =
            balancers.partition(|balancer| balancer.revision >= revision);
        // Watchers that are not listed are at least as far as all that are.
        let is_complete =
            view.hidden() == 0 || view.watchers().all(|watcher| watcher.in_force >= revision);
        Self {
            revision,
            everywhere: lagging.is_empty() && !in_force.is_empty() && is_complete,
            in_force,
            lagging,
            unlisted: view.hidden(),
            silent_replicas: view.silent().to_vec(),
        }
    }
}

impl BalancerProgress {
    /// Returns the progress of a balancer; none for other watchers.
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
                "  {} more watchers are further on",
                self.unlisted
            )?;
        }
        Ok(())
    }
}
