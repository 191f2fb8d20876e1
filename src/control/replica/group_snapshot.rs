use serde::{Deserialize, Serialize};

use super::{EntryPayload, GroupMembers, LogIndex, TermNumber};

/// Snapshot of the replicated state; it replaces the log up to its last entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GroupSnapshot {
    /// Index of the last included entry.
    pub(crate) index: LogIndex,
    /// Term of the last included entry.
    pub(crate) term: TermNumber,
    /// The group's members as of that entry.
    pub(crate) members: GroupMembers,
    /// The state, encoded by the state machine.
    pub(crate) payload: EntryPayload,
}
