use super::super::state::FeedChange;
use crate::key::ServiceNumber;

/// The part of the routes that a reply covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum FeedScope {
    /// Every service.
    All,
    /// One service.
    Service(ServiceNumber),
}

impl FeedScope {
    /// Returns whether a watcher of this scope must hear of `change`.
    pub(crate) fn covers(self, change: &FeedChange) -> bool {
        match self {
            Self::All => true,
            Self::Service(service) => change.concerns(service),
        }
    }
}
