use miette::Diagnostic;
use thiserror::Error;

use crate::key::FeedRevision;

/// Why an update of the route table was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum RouteError {
    /// The update is older than the table.
    #[error("an update to {offered} was offered, but {in_force} is in force")]
    Outdated {
        /// The revision of the table.
        in_force: FeedRevision,
        /// The revision that the update leads to.
        offered: FeedRevision,
    },
    /// The update starts from a revision that the table has not reached.
    #[error("an update after {after} was offered, but {in_force} is in force")]
    Gap {
        /// The revision of the table.
        in_force: FeedRevision,
        /// The revision that the update starts from.
        after: FeedRevision,
    },
}
