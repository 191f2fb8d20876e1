use super::super::state::FeedChange;
use crate::key::ServiceNumber;

/// The part of the routes that a watcher follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum FeedScope {
    /// Every service.
    All,
    /// One service.
    Service(ServiceNumber),
}

impl FeedScope {
    /// Returns whether `change` affects this scope.
    pub(crate) fn covers(self, change: &FeedChange) -> bool {
        match self {
            Self::All => true,
            Self::Service(service) => change.affects(service),
        }
    }
}
