use std::collections::VecDeque;

use super::{DeltaBuilder, FeedScope};
use crate::{control::state::FeedChange, key::FeedRevision, route::RouteDelta};

/// The maximum number of route changes kept for watchers that are behind.
const MAX_CHANGES: usize = 65_536;
/// The maximum number of revisions kept for watchers that are behind.
const MAX_REVISIONS: usize = 65_536;

/// The changes of one revision.
#[derive(Debug, Clone)]
struct RevisionChanges {
    manifest_version: u64,
    changes: Vec<FeedChange>,
}

/// The most recent route changes, from which watchers catch up.
#[derive(Debug, Clone)]
pub(crate) struct ChangeHistory {
    floor: FeedRevision,
    revisions: VecDeque<RevisionChanges>,
    change_count: usize,
    max_changes: usize,
}

impl ChangeHistory {
    /// Creates an empty history; the first change pushed belongs to the revision after `floor`.
    pub(crate) fn new(floor: FeedRevision) -> Self {
        Self {
            floor,
            revisions: VecDeque::new(),
            change_count: 0,
            max_changes: MAX_CHANGES,
        }
    }

    /// Sets the maximum number of changes kept.
    #[cfg(test)]
    pub(crate) fn with_max_changes(mut self, max_changes: usize) -> Self {
        self.max_changes = max_changes;
        self
    }

    /// Returns the revision before the oldest one kept. Watchers at it or later can be sent a
    /// delta.
    pub(crate) fn floor(&self) -> FeedRevision {
        self.floor
    }

    /// Returns the number of changes kept.
    pub(crate) fn change_count(&self) -> usize {
        self.change_count
    }

    /// Adds the changes of the next revision, and evicts the oldest revisions if needed.
    pub(crate) fn push(&mut self, changes: Vec<FeedChange>, manifest_version: u64) {
        self.change_count += changes.len();
        self.revisions.push_back(RevisionChanges {
            manifest_version,
            changes,
        });
        while self.change_count > self.max_changes || self.revisions.len() > MAX_REVISIONS {
            let Some(oldest) = self.revisions.pop_front() else {
                return;
            };
            self.change_count -= oldest.changes.len();
            self.floor = self.floor.next();
        }
    }

    /// Returns each change after a revision in order, or `None` if some were evicted.
    pub(crate) fn changes_after(
        &self,
        after: FeedRevision,
    ) -> Option<impl Iterator<Item = &FeedChange>> {
        let offset = self.offset_after(after)?;
        let revisions = self.revisions.range(offset..);
        Some(revisions.flat_map(|revision| revision.changes.iter()))
    }

    /// Returns the coalesced changes after a revision, or `None` if some were evicted.
    ///
    /// The delta ends with the revision that makes it reach `byte_limit`.
    pub(crate) fn delta(
        &self,
        scope: FeedScope,
        base_revision: FeedRevision,
        byte_limit: usize,
    ) -> Option<RouteDelta> {
        let offset = self.offset_after(base_revision)?;
        let mut builder = DeltaBuilder::new(scope);
        let mut revision = base_revision;
        let mut manifest_version = 0;
        for entry in self.revisions.range(offset..) {
            if builder.bytes() >= byte_limit {
                break;
            }
            builder.add(&entry.changes);
            revision = revision.next();
            manifest_version = entry.manifest_version;
        }
        Some(RouteDelta {
            base_revision,
            revision,
            changes: builder.finish(),
            manifest_version,
        })
    }

    fn offset_after(&self, after: FeedRevision) -> Option<usize> {
        let offset = after.count().checked_sub(self.floor.count())?;
        let offset = usize::try_from(offset).ok()?;
        (offset <= self.revisions.len()).then_some(offset)
    }
}
