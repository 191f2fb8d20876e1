use std::collections::VecDeque;

use super::{DeltaBuilder, FeedScope};
use crate::{control::state::FeedChange, key::FeedRevision, route::RouteDelta};

/// The changes that are held for watchers.
const MOST_CHANGES: usize = 65_536;
/// The revisions that are held for watchers.
const MOST_REVISIONS: usize = 65_536;

/// The changes of one revision.
#[derive(Debug, Clone)]
struct RevisionChanges {
    manifest_version: u64,
    changes: Vec<FeedChange>,
}

/// The latest changes of the routes, for watchers that missed some.
#[derive(Debug, Clone)]
pub(crate) struct ChangeHistory {
    floor: FeedRevision,
    revisions: VecDeque<RevisionChanges>,
    held: usize,
    most_changes: usize,
}

impl ChangeHistory {
    /// Starts a history that holds nothing up to and with `floor`.
    pub(crate) fn new(floor: FeedRevision) -> Self {
        Self {
            floor,
            revisions: VecDeque::new(),
            held: 0,
            most_changes: MOST_CHANGES,
        }
    }

    /// Sets the most changes that are held.
    #[cfg(test)]
    pub(crate) fn with_most_changes(mut self, most_changes: usize) -> Self {
        self.most_changes = most_changes;
        self
    }

    /// Returns the revision that the oldest held change comes after.
    pub(crate) fn floor(&self) -> FeedRevision {
        self.floor
    }

    /// Returns the changes that are held.
    pub(crate) fn held(&self) -> usize {
        self.held
    }

    /// Adds the changes of the next revision; the oldest ones make room.
    pub(crate) fn push(&mut self, changes: Vec<FeedChange>, manifest_version: u64) {
        self.held += changes.len();
        self.revisions.push_back(RevisionChanges {
            manifest_version,
            changes,
        });
        while self.held > self.most_changes || self.revisions.len() > MOST_REVISIONS {
            let Some(oldest) = self.revisions.pop_front() else {
                return;
            };
            self.held -= oldest.changes.len();
            self.floor = self.floor.next();
        }
    }

    /// Returns the changes after a revision, one by one.
    pub(crate) fn changes_after(
        &self,
        after: FeedRevision,
    ) -> Option<impl Iterator<Item = &FeedChange>> {
        let skipped = self.skipped(after)?;
        let revisions = self.revisions.range(skipped..);
        Some(revisions.flat_map(|revision| revision.changes.iter()))
    }

    /// Returns the coalesced changes after a revision, or none if they are gone.
    ///
    /// The delta ends at the first revision that fills `byte_limit`.
    pub(crate) fn delta(
        &self,
        scope: FeedScope,
        after: FeedRevision,
        byte_limit: usize,
    ) -> Option<RouteDelta> {
        let skipped = self.skipped(after)?;
        let mut builder = DeltaBuilder::new(scope);
        let mut revision = after;
        let mut manifest_version = 0;
        for held in self.revisions.range(skipped..) {
            if builder.bytes() >= byte_limit {
                break;
            }
            builder.add(&held.changes);
            revision = revision.next();
            manifest_version = held.manifest_version;
        }
        Some(RouteDelta {
            after,
            revision,
            changes: builder.finish(),
            manifest_version,
        })
    }

    fn skipped(&self, after: FeedRevision) -> Option<usize> {
        let skipped = after.count().checked_sub(self.floor.count())?;
        let skipped = usize::try_from(skipped).ok()?;
        (skipped <= self.revisions.len()).then_some(skipped)
    }
}
