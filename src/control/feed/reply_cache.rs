use std::collections::BTreeMap;

use super::{EncodedReply, FeedScope};
use crate::key::FeedRevision;

/// The maximum number of cached replies.
const MAX_REPLIES: usize = 256;

/// Caches the encoded replies of the current revision; each new revision clears it.
#[derive(Debug, Default)]
pub(super) struct ReplyCache {
    replies: BTreeMap<(FeedScope, Option<FeedRevision>), EncodedReply>,
}

impl ReplyCache {
    /// Returns the cached delta after a revision, or the cached snapshot if `after` is `None`.
    pub(super) fn get(
        &self,
        scope: FeedScope,
        after: Option<FeedRevision>,
    ) -> Option<EncodedReply> {
        self.replies.get(&(scope, after)).cloned()
    }

    /// Adds a reply unless the cache is full.
    pub(super) fn insert(
        &mut self,
        scope: FeedScope,
        after: Option<FeedRevision>,
        reply: &EncodedReply,
    ) {
        if self.replies.len() < MAX_REPLIES {
            self.replies.insert((scope, after), reply.clone());
        }
    }

    /// Removes all replies.
    pub(super) fn clear(&mut self) {
        self.replies.clear();
    }
}
