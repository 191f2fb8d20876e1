use std::collections::{HashMap, VecDeque};

use super::{FlowKey, HopHeader};
use crate::clock::{ClockMillis, SpanMillis};

/// The most openings that are watched at a time.
const MAX_OPENINGS: usize = 8_192;

/// An opening packet that nobody has answered yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WatchedOpening {
    /// The flow.
    pub(crate) flow: FlowKey,
    /// Who may still be tried.
    pub(crate) header: HopHeader,
    /// The packet as the caller sent it.
    pub(crate) packet: Vec<u8>,
    /// When the caller first sent it.
    pub(crate) asked_at: ClockMillis,
    /// When it was handed over.
    pub(crate) sent_at: ClockMillis,
}

/// Watches opening packets until they are answered or their time is over.
#[derive(Debug)]
pub(crate) struct OpeningWatch {
    openings: HashMap<FlowKey, WatchedOpening>,
    due: VecDeque<(ClockMillis, FlowKey)>,
    patience: SpanMillis,
}

impl OpeningWatch {
    /// Creates a watch that waits for `patience`.
    pub(crate) fn new(patience: SpanMillis) -> Self {
        Self {
            openings: HashMap::new(),
            due: VecDeque::new(),
            patience,
        }
    }

    /// Watches an opening; a copy of one that is watched changes nothing.
    pub(crate) fn watch(&mut self, opening: WatchedOpening) {
        if self.openings.len() >= MAX_OPENINGS || self.openings.contains_key(&opening.flow) {
            return;
        }
        self.due
            .push_back((opening.sent_at.after(self.patience), opening.flow));
        self.openings.insert(opening.flow, opening);
    }

    /// Returns whether an opening of the flow is watched.
    pub(crate) fn holds(&self, flow: FlowKey) -> bool {
        self.openings.contains_key(&flow)
    }

    /// Returns how long an opening has been watched.
    pub(crate) fn age(&self, flow: FlowKey, now: ClockMillis) -> Option<SpanMillis> {
        let opening = self.openings.get(&flow)?;
        Some(now.since(opening.sent_at))
    }

    /// Takes an opening that was answered.
    pub(crate) fn take(&mut self, flow: FlowKey) -> Option<WatchedOpening> {
        self.openings.remove(&flow)
    }

    /// Takes the next opening whose time is over.
    pub(crate) fn take_due(&mut self, now: ClockMillis) -> Option<WatchedOpening> {
        while let Some((at, flow)) = self.due.front().copied() {
            if at > now {
                return None;
            }
            self.due.pop_front();
            let waited = |opening: &WatchedOpening| opening.sent_at.after(self.patience) <= now;
            if self.openings.get(&flow).is_some_and(waited) {
                return self.openings.remove(&flow);
            }
        }
        None
    }

    /// Returns when the next opening may be due.
    pub(crate) fn next_due(&self) -> Option<ClockMillis> {
        if self.openings.is_empty() {
            return None;
        }
        self.due.front().map(|(at, _)| *at)
    }
}
