use super::ControlOutcome;
use crate::{key::ServiceNumber, route::RouteChange};

/// One change of the routes with the services that it concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FeedChange {
    /// What changed.
    pub(crate) change: RouteChange,
    /// The service that the change belongs to.
    pub(crate) service: ServiceNumber,
    /// The other service that a target belonged to before, if any.
    pub(crate) left: Option<ServiceNumber>,
}

impl FeedChange {
    /// Creates a change that concerns one service.
    pub(crate) fn new(change: RouteChange, service: ServiceNumber) -> Self {
        Self {
            change,
            service,
            left: None,
        }
    }

    /// Names the other service that the target belonged to before.
    pub(crate) fn with_left(mut self, left: Option<ServiceNumber>) -> Self {
        self.left = left.filter(|left| *left != self.service);
        self
    }

    /// Returns whether a watcher of `service` must hear of the change.
    pub(crate) fn concerns(&self, service: ServiceNumber) -> bool {
        self.service == service || self.left == Some(service)
    }
}

/// What one command did to the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StateStep {
    /// What the proposer is told.
    pub(crate) outcome: ControlOutcome,
    /// The changes of the routes, all at the new revision.
    pub(crate) changes: Vec<FeedChange>,
    /// Whether the revision grew.
    pub(crate) effective: bool,
}

impl StateStep {
    /// Creates a step that changed nothing.
    pub(crate) fn unchanged(outcome: ControlOutcome) -> Self {
        Self {
            outcome,
            changes: Vec::new(),
            effective: false,
        }
    }

    /// Creates a step that made the revision grow.
    pub(crate) fn changed(outcome: ControlOutcome, changes: Vec<FeedChange>) -> Self {
        Self {
            outcome,
            changes,
            effective: true,
        }
    }
}
