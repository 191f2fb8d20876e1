use std::collections::VecDeque;

use super::RequestKey;
use crate::manifest::RequestPriority;

/// What waits for a slot: a request of the target's own or a peer's claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LineEntry {
    /// A request that is here.
    Own(RequestKey),
    /// A claim for a request that waits at its home.
    Claim(RequestKey),
}

/// The waiting entries of one target, by priority and then by arrival.
#[derive(Debug, Clone, Default)]
pub(crate) struct WaitingLine {
    lanes: [VecDeque<LineEntry>; 3],
}

impl LineEntry {
    /// Returns the request that waits.
    pub(crate) const fn request(self) -> RequestKey {
        match self {
            Self::Own(request) | Self::Claim(request) => request,
        }
    }
}

impl WaitingLine {
    /// Adds an entry behind its equals.
    pub(crate) fn push(&mut self, priority: RequestPriority, entry: LineEntry) {
        self.lanes[lane_of(priority)].push_back(entry);
    }

    /// Takes the entry that is due next.
    pub(crate) fn pop(&mut self) -> Option<LineEntry> {
        self.lanes.iter_mut().find_map(VecDeque::pop_front)
    }

    /// Takes the own request that is due next, leaving claims in place.
    pub(crate) fn pop_own(&mut self) -> Option<RequestKey> {
        for lane in &mut self.lanes {
            let own = |entry: &LineEntry| matches!(entry, LineEntry::Own(_));
            if let Some(place) = lane.iter().position(own) {
                return lane.remove(place).map(LineEntry::request);
            }
        }
        None
    }

    /// Removes what waits for a request.
    pub(crate) fn remove(&mut self, request: RequestKey) {
        for lane in &mut self.lanes {
            lane.retain(|entry| entry.request() != request);
        }
    }

    /// Returns the number of own requests that wait.
    pub(crate) fn own_len(&self) -> usize {
        let entries = self.lanes.iter().flatten();
        entries
            .filter(|entry| matches!(entry, LineEntry::Own(_)))
            .count()
    }

    /// Tells whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }

    /// Empties the line.
    pub(crate) fn drain(&mut self) -> Vec<LineEntry> {
        self.lanes
            .iter_mut()
            .flat_map(|lane| lane.drain(..))
            .collect()
    }
}

const fn lane_of(priority: RequestPriority) -> usize {
    match priority {
        RequestPriority::Urgent => 0,
        RequestPriority::Normal => 1,
        RequestPriority::Bulk => 2,
    }
}
