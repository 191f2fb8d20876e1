use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::key::{IncarnationId, TargetKey};

/// The maximum number of retired incarnations.
const MAX_RETIRED_INCARNATIONS: usize = 16_384;

/// Incarnations that were replaced or withdrawn, and whose late announcements are refused.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct RetiredIncarnations {
    order: VecDeque<(TargetKey, IncarnationId)>,
    #[serde(rename = "runs")]
    incarnations: BTreeSet<(TargetKey, IncarnationId)>,
}

impl RetiredIncarnations {
    /// Adds an incarnation; evicts the oldest one when there are too many.
    pub(crate) fn retire(&mut self, target: TargetKey, incarnation: IncarnationId) {
        if !self.incarnations.insert((target, incarnation)) {
            return;
        }
        self.order.push_back((target, incarnation));
        if self.order.len() > MAX_RETIRED_INCARNATIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.incarnations.remove(&oldest);
        }
    }

    /// Returns whether the incarnation is retired.
    pub(crate) fn contains(&self, target: TargetKey, incarnation: IncarnationId) -> bool {
        self.incarnations.contains(&(target, incarnation))
    }
}
