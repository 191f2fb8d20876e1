use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::key::{IncarnationId, TargetKey};

/// The retired runs that are remembered.
const MOST_RUNS: usize = 16_384;

/// Runs that were replaced or withdrawn, whose late announcements are refused.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct RetiredRuns {
    order: VecDeque<(TargetKey, IncarnationId)>,
    runs: BTreeSet<(TargetKey, IncarnationId)>,
}

impl RetiredRuns {
    /// Remembers a run; the oldest one is forgotten when there are too many.
    pub(crate) fn retire(&mut self, target: TargetKey, incarnation: IncarnationId) {
        if !self.runs.insert((target, incarnation)) {
            return;
        }
        self.order.push_back((target, incarnation));
        if self.order.len() > MOST_RUNS
            && let Some(oldest) = self.order.pop_front()
        {
            self.runs.remove(&oldest);
        }
    }

    /// Returns whether the run was replaced or withdrawn.
    pub(crate) fn contains(&self, target: TargetKey, incarnation: IncarnationId) -> bool {
        self.runs.contains(&(target, incarnation))
    }
}
