use miette::Diagnostic;
use thiserror::Error;

use crate::key::FeedRevision;

/// Why the route table rejected an update.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum RouteError {
    /// The update is older than the table's revision.
    #[error("route update leads to {offered}, but the table is already at {in_force}")]
    Outdated {
        /// The revision of the table.
        in_force: FeedRevision,
        /// The revision after the update.
        offered: FeedRevision,
    },
    /// The update applies to a revision that the table has not reached.
    #[error("route update applies to {base_revision}, but the table is only at {in_force}")]
    Gap {
        /// The revision of the table.
        in_force: FeedRevision,
        /// The revision that the update applies to.
        base_revision: FeedRevision,
    },
}
