use std::sync::Arc;

use serde_json::value::RawValue;

use crate::key::FeedRevision;

/// A reply encoded as JSON once and shared by all watchers that receive it.
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

/// What the feed currently has for a watcher.
#[derive(Debug, Clone)]
pub(crate) enum FeedAnswer {
    /// Nothing in the watcher's scope changed up to this revision.
    Unchanged(FeedRevision),
    /// A delta or a snapshot.
    Update(EncodedReply),
    /// This replica's state is older than the watcher's.
    Behind,
}
