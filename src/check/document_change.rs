use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// A difference between two documents, with its place.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DocumentChange {
    /// The path of the value, such as `services[logbook].limits.slots`.
    pub place: String,
    /// What happened to the value.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

/// What happened to a value between two documents.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only the new document has the value.
    Added {
        /// The value.
        after: Value,
    },
    /// Only the document in force has the value.
    Removed {
        /// The value.
        before: Value,
    },
    /// The value differs.
    Changed {
        /// The value in force.
        before: Value,
        /// The new value.
        after: Value,
    },
    /// The entries of a list that both documents have are in another order.
    Reordered,
}

impl fmt::Display for DocumentChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "`{}`: ", self.place)?;
        match &self.kind {
            ChangeKind::Added { after } => write!(formatter, "added {after}"),
            ChangeKind::Removed { before } => write!(formatter, "removed {before}"),
            ChangeKind::Changed { before, after } => write!(formatter, "{before} -> {after}"),
            ChangeKind::Reordered => formatter.write_str("in another order"),
        }
    }
}
