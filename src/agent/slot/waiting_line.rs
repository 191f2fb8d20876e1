use std::collections::VecDeque;

use slotmap::SlotMap;

use super::{SlotOrigin, SlotRequest, WaiterKey, service_time::class_index};
use crate::manifest::RequestPriority;

/// The priorities, the most urgent first.
pub(super) const PRIORITIES: [RequestPriority; 3] = [
    RequestPriority::Urgent,
    RequestPriority::Normal,
    RequestPriority::Bulk,
];

/// The requests that wait, in the order in which they are to start.
#[derive(Debug, Default)]
pub(super) struct WaitingLine {
    requests: SlotMap<WaiterKey, SlotRequest>,
    own: [usize; 3],
    lines: [VecDeque<WaiterKey>; 3],
}

impl WaitingLine {
    /// Returns how many of one origin wait.
    pub(super) fn len(&self, origin: SlotOrigin) -> usize {
        let own = self.own.iter().sum();
        match origin {
            SlotOrigin::Own => own,
            SlotOrigin::Peer => self.requests.len() - own,
        }
    }

    /// Tells whether any of one priority waits.
    pub(super) fn has(&self, priority: RequestPriority) -> bool {
        !self.lines[class_index(priority)].is_empty()
    }

    /// Returns how many own requests of one priority wait.
    pub(super) fn own_of(&self, priority: RequestPriority) -> usize {
        self.own[class_index(priority)]
    }

    /// Returns a waiting request.
    pub(super) fn get(&self, waiter: WaiterKey) -> Option<SlotRequest> {
        self.requests.get(waiter).copied()
    }

    /// Adds a request behind those of its priority.
    pub(super) fn push(&mut self, request: SlotRequest) -> WaiterKey {
        let waiter = self.requests.insert(request);
        if request.origin == SlotOrigin::Own {
            self.own[class_index(request.priority)] += 1;
        }
        self.lines[class_index(request.priority)].push_back(waiter);
        waiter
    }

    /// Returns the first of one priority.
    pub(super) fn first(&self, priority: RequestPriority) -> Option<WaiterKey> {
        self.lines[class_index(priority)].front().copied()
    }

    /// Returns the last own request of the least urgent below `priority`.
    pub(super) fn last_below(&self, priority: RequestPriority) -> Option<WaiterKey> {
        self.lines
            .iter()
            .skip(class_index(priority) + 1)
            .rev()
            .find_map(|line| {
                line.iter()
                    .rev()
                    .copied()
                    .find(|waiter| self.is_own(*waiter))
            })
    }

    fn is_own(&self, waiter: WaiterKey) -> bool {
        self.get(waiter)
            .is_some_and(|request| request.origin == SlotOrigin::Own)
    }

    /// Takes a request out; returns it if it waited.
    pub(super) fn remove(&mut self, waiter: WaiterKey) -> Option<SlotRequest> {
        let request = self.requests.remove(waiter)?;
        let class = class_index(request.priority);
        self.lines[class].retain(|key| *key != waiter);
        if request.origin == SlotOrigin::Own {
            self.own[class] -= 1;
        }
        Some(request)
    }

    /// Returns every waiting request, the most urgent first.
    pub(super) fn iter(&self) -> impl Iterator<Item = (WaiterKey, SlotRequest)> + '_ {
        self.lines
            .iter()
            .flatten()
            .filter_map(|waiter| Some((*waiter, self.get(*waiter)?)))
    }
}
