use std::{fmt, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{Bytes, DeserializeAs};

use super::{GroupMembers, LogIndex, TermNumber};

/// Opaque bytes of a change or a snapshot; cheap to clone.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct EntryPayload(Arc<[u8]>);

impl EntryPayload {
    /// Creates a payload from its bytes.
    pub(crate) fn new(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for EntryPayload {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "EntryPayload({} bytes)", self.0.len())
    }
}

impl Serialize for EntryPayload {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for EntryPayload {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes: Vec<u8> = Bytes::deserialize_as(deserializer)?;
        Ok(Self::new(bytes))
    }
}

/// What a log entry does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum EntryBody {
    /// No-op that a new leader commits to learn the commit index.
    Empty,
    /// Changes the state machine once it is committed.
    Change(EntryPayload),
    /// Changes the group's members; takes effect when it is appended.
    Members(GroupMembers),
}

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LogEntry {
    /// Index in the log.
    pub(crate) index: LogIndex,
    /// Term of the leader that appended it.
    pub(crate) term: TermNumber,
    pub(crate) body: EntryBody,
}

impl LogEntry {
    /// Returns the approximate size of the entry in bytes.
    pub(crate) fn size(&self) -> usize {
        const FRAME_BYTES: usize = 24;
        const MEMBER_BYTES: usize = 20;
        let body = match &self.body {
            EntryBody::Empty => 0,
            EntryBody::Change(payload) => payload.bytes().len(),
            EntryBody::Members(members) => members.list().len() * MEMBER_BYTES,
        };
        FRAME_BYTES + body
    }
}
