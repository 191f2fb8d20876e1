use serde::{Deserialize, Serialize};

use super::{DiskId, LogIndex};

/// Fields that were added to peer messages later. They travel behind the message, where
/// earlier releases ignore them; messages of earlier releases have the default ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct MessageTail {
    /// Whether the sender is about to stop.
    pub(crate) is_stopping: bool,
    /// Whether the sender asks the members before a change as well until the change is
    /// committed; see `quorums`.
    pub(crate) uses_joint_quorums: bool,
    /// In a heartbeat, the index of the latest members if their voters all do so.
    pub(crate) joint_members: Option<LogIndex>,
    /// In a join request, the data folder that the sender's replica had before. The
    /// receiver has named it in a message that arrived at the sender.
    pub(crate) lost_disk: Option<DiskId>,
}
