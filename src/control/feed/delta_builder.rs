use std::collections::BTreeMap;

use super::FeedScope;
use crate::{
    control::state::FeedChange,
    key::{ServiceNumber, TargetKey},
    route::RouteChange,
};

/// The approximate bytes of a change without its names.
const CHANGE_BYTES: usize = 32;
/// The approximate bytes of a service without its names.
const SERVICE_BYTES: usize = 48;

/// The service or target that a change replaces; only its latest change is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ChangeSubject {
    Service(ServiceNumber),
    Target(TargetKey),
}

/// Coalesces changes into one per service and target.
#[derive(Debug)]
pub(super) struct DeltaBuilder<'a> {
    scope: FeedScope,
    latest: BTreeMap<ChangeSubject, &'a FeedChange>,
    bytes: usize,
}

impl<'a> DeltaBuilder<'a> {
    /// Creates an empty delta for watchers of `scope`.
    pub(super) fn new(scope: FeedScope) -> Self {
        Self {
            scope,
            latest: BTreeMap::new(),
            bytes: 0,
        }
    }

    /// Returns the approximate packed size of the delta in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the changes of one revision.
    pub(super) fn add(&mut self, changes: &'a [FeedChange]) {
        for change in changes {
            let subject = subject_of(&change.change);
            if let Some(earlier) = self.latest.get_mut(&subject) {
                // Even a change out of scope must replace an earlier one in the delta, so
                // that the watcher learns that a target left or was removed.
                *earlier = change;
            } else if self.scope.covers(change) {
                self.bytes += packed_size(&change.change);
                self.latest.insert(subject, change);
            }
        }
    }

    /// Returns the changes, ordered as services, targets, removed services.
    pub(super) fn finish(self) -> Vec<RouteChange> {
        let mut changes = Vec::with_capacity(self.latest.len());
        let mut removed = Vec::new();
        for change in self.latest.into_values() {
            let change = scoped_change(self.scope, change);
            match change {
                RouteChange::ServiceRemoved(_) => removed.push(change),
                _ => changes.push(change),
            }
        }
        changes.append(&mut removed);
        changes
    }
}

/// Translates a change for watchers of `scope`: a target that moved to another service is
/// removed.
fn scoped_change(scope: FeedScope, change: &FeedChange) -> RouteChange {
    match (scope, &change.change) {
        (FeedScope::Service(service), RouteChange::TargetSet(route))
            if route.service != service =>
        {
            RouteChange::TargetRemoved(route.key)
        }
        (_, change) => change.clone(),
    }
}

fn subject_of(change: &RouteChange) -> ChangeSubject {
    match change {
        RouteChange::ServiceSet(route) => ChangeSubject::Service(route.number),
        RouteChange::ServiceRemoved(number) => ChangeSubject::Service(*number),
        RouteChange::TargetSet(route) => ChangeSubject::Target(route.key),
        RouteChange::TargetRemoved(key) => ChangeSubject::Target(*key),
    }
}

fn packed_size(change: &RouteChange) -> usize {
    match change {
        RouteChange::ServiceSet(route) => {
            let rules = route.spec.rules.len() * SERVICE_BYTES;
            SERVICE_BYTES + route.spec.name.len() + rules
        }
        RouteChange::TargetSet(route) => {
            CHANGE_BYTES + route.domain.region.len() + route.domain.failure_domain.len()
        }
        RouteChange::ServiceRemoved(_) | RouteChange::TargetRemoved(_) => CHANGE_BYTES / 4,
    }
}
