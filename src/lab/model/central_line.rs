use std::collections::VecDeque;

use super::RequestKey;
use crate::manifest::RequestPriority;

/// The line before all slots under the central queue, by priority and arrival.
#[derive(Debug, Clone, Default)]
pub(crate) struct CentralLine {
    lanes: [VecDeque<RequestKey>; 3],
}

impl CentralLine {
    /// Adds a request behind its equals.
    pub(crate) fn push(&mut self, priority: RequestPriority, request: RequestKey) {
        let lane = match priority {
            RequestPriority::Urgent => 0,
            RequestPriority::Normal => 1,
            RequestPriority::Bulk => 2,
        };
        self.lanes[lane].push_back(request);
    }

    /// Takes the request that is due next.
    pub(crate) fn pop(&mut self) -> Option<RequestKey> {
        self.lanes.iter_mut().find_map(VecDeque::pop_front)
    }

    /// Returns how many wait.
    pub(crate) fn len(&self) -> usize {
        self.lanes.iter().map(VecDeque::len).sum()
    }
}
