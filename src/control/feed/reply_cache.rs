use std::collections::BTreeMap;

use super::{EncodedReply, FeedScope};
use crate::key::FeedRevision;

/// The replies that are kept for further watchers.
const MOST_REPLIES: usize = 256;

/// Encoded replies of the current revision; a new revision empties it.
#[derive(Debug, Default)]
pub(super) struct ReplyCache {
    replies: BTreeMap<(FeedScope, Option<FeedRevision>), EncodedReply>,
}

impl ReplyCache {
    /// Returns the reply after a revision, or the snapshot for none.
    pub(super) fn find(
        &self,
        scope: FeedScope,
        after: Option<FeedRevision>,
    ) -> Option<EncodedReply> {
        self.replies.get(&(scope, after)).cloned()
    }

    /// Keeps a reply while there is room.
    pub(super) fn keep(
        &mut self,
        scope: FeedScope,
        after: Option<FeedRevision>,
        reply: &EncodedReply,
    ) {
        if self.replies.len() < MOST_REPLIES {
            self.replies.insert((scope, after), reply.clone());
        }
    }

    /// Drops every reply.
    pub(super) fn clear(&mut self) {
        self.replies.clear();
    }
}
