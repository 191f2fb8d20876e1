use serde::{Deserialize, Serialize};

use super::{EntryPayload, GroupMembers, LogIndex, TermNumber};

/// The replicated state after one entry; it stands for the log up to there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GroupSnapshot {
    /// The last entry that the state includes.
    pub(crate) index: LogIndex,
    /// That entry's term.
    pub(crate) term: TermNumber,
    /// The group's members after that entry.
    pub(crate) members: GroupMembers,
    /// The state, as the state machine wrote it.
    pub(crate) payload: EntryPayload,
}
