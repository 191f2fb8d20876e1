use super::ControlOutcome;
use crate::{key::ServiceNumber, route::RouteChange};

/// A route change and the services that it affects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FeedChange {
    /// The change itself.
    pub(crate) change: RouteChange,
    /// The service that the route belongs to.
    pub(crate) service: ServiceNumber,
    /// The service that the target moved from, if it was another one.
    pub(crate) previous_service: Option<ServiceNumber>,
}

impl FeedChange {
    /// Creates a change that affects one service.
    pub(crate) fn new(change: RouteChange, service: ServiceNumber) -> Self {
        Self {
            change,
            service,
            previous_service: None,
        }
    }

    /// Sets the service that the target belonged to before, if it was another one.
    pub(crate) fn with_previous_service(mut self, previous_service: Option<ServiceNumber>) -> Self {
        self.previous_service =
            previous_service.filter(|previous_service| *previous_service != self.service);
        self
    }

    /// Returns whether the change affects `service`.
    pub(crate) fn affects(&self, service: ServiceNumber) -> bool {
        self.service == service || self.previous_service == Some(service)
    }
}

/// The effect of one committed command on the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StateTransition {
    /// The outcome returned to the proposer.
    pub(crate) outcome: ControlOutcome,
    /// The route changes, all at the new revision.
    pub(crate) changes: Vec<FeedChange>,
    /// Whether the revision advanced.
    pub(crate) effective: bool,
}

impl StateTransition {
    /// Creates a transition that changes nothing.
    pub(crate) fn unchanged(outcome: ControlOutcome) -> Self {
        Self {
            outcome,
            changes: Vec::new(),
            effective: false,
        }
    }

    /// Creates a transition that advances the revision.
    pub(crate) fn changed(outcome: ControlOutcome, changes: Vec<FeedChange>) -> Self {
        Self {
            outcome,
            changes,
            effective: true,
        }
    }
}
