use std::{fmt, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{Bytes, DeserializeAs};

use super::{GroupMembers, LogIndex, TermNumber};

/// Bytes that the log carries without looking into them; cheap to clone.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct EntryPayload(Arc<[u8]>);

impl EntryPayload {
    /// Wraps the bytes of a change or a snapshot.
    pub(crate) fn new(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }

    /// Returns the bytes.
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

/// What an entry of the log does when it is committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum EntryBody {
    /// Nothing; a new leader commits it to learn what is committed.
    Empty,
    /// Changes the replicated state.
    Change(EntryPayload),
    /// Changes the group's members; it holds from its append on.
    Members(GroupMembers),
}

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LogEntry {
    /// The entry's place.
    pub(crate) index: LogIndex,
    /// The term of the leader that appended it.
    pub(crate) term: TermNumber,
    /// What it does.
    pub(crate) body: EntryBody,
}

impl LogEntry {
    /// Returns roughly the bytes that the entry takes.
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
