use std::collections::VecDeque;

use slotmap::SlotMap;

use super::{SlotRequest, WaiterKey, service_time::class_index};
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
    lines: [VecDeque<WaiterKey>; 3],
}

impl WaitingLine {
    /// Returns how many wait.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns how many of one priority wait.
    pub(super) fn len_of(&self, priority: RequestPriority) -> usize {
        self.lines[class_index(priority)].len()
    }

    /// Returns a waiting request.
    pub(super) fn get(&self, waiter: WaiterKey) -> Option<SlotRequest> {
        self.requests.get(waiter).copied()
    }

    /// Adds a request behind those of its priority.
    pub(super) fn push(&mut self, request: SlotRequest) -> WaiterKey {
        let waiter = self.requests.insert(request);
        self.lines[class_index(request.priority)].push_back(waiter);
        waiter
    }

    /// Returns the first of one priority.
    pub(super) fn first(&self, priority: RequestPriority) -> Option<WaiterKey> {
        self.lines[class_index(priority)].front().copied()
    }

    /// Returns the last of the least urgent that is less urgent than `priority`.
    pub(super) fn last_below(&self, priority: RequestPriority) -> Option<WaiterKey> {
        self.lines
            .iter()
            .skip(class_index(priority) + 1)
            .rev()
            .find_map(|line| line.back().copied())
    }

    /// Takes a request out; returns it if it waited.
    pub(super) fn remove(&mut self, waiter: WaiterKey) -> Option<SlotRequest> {
        let request = self.requests.remove(waiter)?;
        self.lines[class_index(request.priority)].retain(|key| *key != waiter);
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
