use std::collections::VecDeque;

use super::RequestKey;
use crate::manifest::RequestPriority;

/// The queue shared by all slots under `RelayRule::CentralQueue`, by priority and arrival.
#[derive(Debug, Clone, Default)]
pub(crate) struct CentralQueue {
    queues: [VecDeque<RequestKey>; 3],
}

impl CentralQueue {
    /// Adds a request behind those of its priority.
    pub(crate) fn push(&mut self, priority: RequestPriority, request: RequestKey) {
        let queue = match priority {
            RequestPriority::Urgent => 0,
            RequestPriority::Normal => 1,
            RequestPriority::Bulk => 2,
        };
        self.queues[queue].push_back(request);
    }

    /// Removes the next request.
    pub(crate) fn pop(&mut self) -> Option<RequestKey> {
        self.queues.iter_mut().find_map(VecDeque::pop_front)
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }
}
