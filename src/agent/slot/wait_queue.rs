use std::collections::VecDeque;

use slotmap::SlotMap;

use super::{SlotOrigin, SlotRequest, WaiterKey, service_time::priority_index};
use crate::manifest::RequestPriority;

/// The priorities, most urgent first.
pub(super) const PRIORITIES: [RequestPriority; 3] = [
    RequestPriority::Urgent,
    RequestPriority::Normal,
    RequestPriority::Bulk,
];

/// Waiting requests, one FIFO queue per priority.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    requests: SlotMap<WaiterKey, SlotRequest>,
    own_counts: [usize; 3],
    queues: [VecDeque<WaiterKey>; 3],
}

impl WaitQueue {
    /// Returns the number of waiting requests of an origin.
    pub(super) fn len(&self, origin: SlotOrigin) -> usize {
        let own = self.own_counts.iter().sum();
        match origin {
            SlotOrigin::Local => own,
            SlotOrigin::Peer => self.requests.len() - own,
        }
    }

    /// Returns whether a request of this priority waits.
    pub(super) fn has_any(&self, priority: RequestPriority) -> bool {
        !self.queues[priority_index(priority)].is_empty()
    }

    /// Returns the number of waiting requests of own callers with this priority.
    pub(super) fn own_len(&self, priority: RequestPriority) -> usize {
        self.own_counts[priority_index(priority)]
    }

    /// Returns a waiting request.
    pub(super) fn get(&self, waiter: WaiterKey) -> Option<SlotRequest> {
        self.requests.get(waiter).copied()
    }

    /// Appends a request to the queue of its priority.
    pub(super) fn push(&mut self, request: SlotRequest) -> WaiterKey {
        let waiter = self.requests.insert(request);
        if request.origin == SlotOrigin::Local {
            self.own_counts[priority_index(request.priority)] += 1;
        }
        self.queues[priority_index(request.priority)].push_back(waiter);
        waiter
    }

    /// Returns the first waiting request of a priority.
    pub(super) fn first(&self, priority: RequestPriority) -> Option<WaiterKey> {
        self.queues[priority_index(priority)].front().copied()
    }

    /// Returns the last request of an own caller in the least urgent queue below `priority`.
    pub(super) fn last_own_below(&self, priority: RequestPriority) -> Option<WaiterKey> {
        self.queues
            .iter()
            .skip(priority_index(priority) + 1)
            .rev()
            .find_map(|queue| {
                queue
                    .iter()
                    .rev()
                    .copied()
                    .find(|waiter| self.is_own(*waiter))
            })
    }

    fn is_own(&self, waiter: WaiterKey) -> bool {
        self.get(waiter)
            .is_some_and(|request| request.origin == SlotOrigin::Local)
    }

    /// Removes a request; returns it if it was waiting.
    pub(super) fn remove(&mut self, waiter: WaiterKey) -> Option<SlotRequest> {
        let request = self.requests.remove(waiter)?;
        let index = priority_index(request.priority);
        self.queues[index].retain(|key| *key != waiter);
        if request.origin == SlotOrigin::Local {
            self.own_counts[index] -= 1;
        }
        Some(request)
    }

    /// Iterates over the waiting requests, most urgent first.
    pub(super) fn iter(&self) -> impl Iterator<Item = (WaiterKey, SlotRequest)> + '_ {
        self.queues
            .iter()
            .flatten()
            .filter_map(|waiter| Some((*waiter, self.get(*waiter)?)))
    }
}
