use std::sync::Arc;

use serde_json::value::RawValue;

use crate::key::FeedRevision;

/// A reply in its JSON form, shared by all watchers that get the same one.
#[derive(Debug, Clone)]
pub(crate) struct EncodedReply {
    /// The JSON text.
    pub(crate) text: Arc<RawValue>,
}

impl EncodedReply {
    /// Returns the length of the JSON text.
    pub(crate) fn bytes(&self) -> usize {
        self.text.get().len()
    }
}

/// What the feed has for a watcher right now.
#[derive(Debug, Clone)]
pub(crate) enum FeedAnswer {
    /// Nothing that the watcher wants came after its revision.
    Unchanged(FeedRevision),
    /// A delta or a snapshot.
    News(EncodedReply),
    /// The watcher has seen a newer state than this replica holds.
    Behind,
}
