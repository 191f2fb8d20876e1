use std::collections::{HashMap, VecDeque};

use super::{FlowKey, HopHeader};
use crate::clock::{ClockMillis, SpanMillis};

/// Maximum number of pending openings; further ones are not added.
const MAX_OPENINGS: usize = 8_192;

/// An opening packet that waits for an answer, a report or a free slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PendingOpening {
    pub(crate) flow: FlowKey,
    /// The frame header, with the candidates not tried yet.
    pub(crate) header: HopHeader,
    /// The packet as the caller sent it.
    pub(crate) packet: Vec<u8>,
    /// When the caller first sent it; later packets are retransmissions.
    pub(crate) first_sent_at: ClockMillis,
    /// When this process sent or queued it.
    pub(crate) sent_at: ClockMillis,
}

/// Openings that wait for an answer or a report, with a timeout.
#[derive(Debug)]
pub(crate) struct PendingOpenings {
    openings: HashMap<FlowKey, PendingOpening>,
    /// The openings in the order in which they were sent.
    sent: VecDeque<(ClockMillis, FlowKey)>,
    timeout: SpanMillis,
    /// Openings sent before this time are due, since later ones were answered.
    overtaken_until: ClockMillis,
}

impl PendingOpenings {
    /// Creates an empty table; openings become due after `timeout`.
    pub(crate) fn new(timeout: SpanMillis) -> Self {
        Self {
            openings: HashMap::new(),
            sent: VecDeque::new(),
            timeout,
            overtaken_until: ClockMillis::ORIGIN,
        }
    }

    /// Changes the timeout, also of the openings that are pending.
    pub(crate) fn set_timeout(&mut self, timeout: SpanMillis) {
        self.timeout = timeout;
    }

    /// Records that an opening sent at `sent_at` was answered: those sent more than
    /// `margin` earlier are due, whatever the timeout is.
    pub(crate) fn note_answered(&mut self, sent_at: ClockMillis, margin: SpanMillis) {
        self.overtaken_until = self.overtaken_until.max(sent_at.before(margin));
    }

    /// Adds an opening; a retransmission of a pending one changes nothing.
    ///
    /// Returns whether it was added.
    pub(crate) fn insert(&mut self, opening: PendingOpening) -> bool {
        if self.openings.len() >= MAX_OPENINGS || self.openings.contains_key(&opening.flow) {
            return false;
        }
        self.sent.push_back((opening.sent_at, opening.flow));
        self.openings.insert(opening.flow, opening);
        true
    }

    /// Returns whether an opening of the flow is pending.
    pub(crate) fn contains(&self, flow: FlowKey) -> bool {
        self.openings.contains_key(&flow)
    }

    /// Returns how long an opening has been pending.
    pub(crate) fn age(&self, flow: FlowKey, now: ClockMillis) -> Option<SpanMillis> {
        let opening = self.openings.get(&flow)?;
        Some(now.since(opening.sent_at))
    }

    /// Removes and returns the opening of a flow.
    pub(crate) fn remove(&mut self, flow: FlowKey) -> Option<PendingOpening> {
        self.openings.remove(&flow)
    }

    /// Removes and returns the next opening whose timeout has passed.
    pub(crate) fn take_due(&mut self, now: ClockMillis) -> Option<PendingOpening> {
        while let Some((sent_at, flow)) = self.sent.front().copied() {
            if self.due_at(sent_at) > now {
                return None;
            }
            self.sent.pop_front();
            let is_due = |opening: &PendingOpening| self.due_at(opening.sent_at) <= now;
            if self.openings.get(&flow).is_some_and(is_due) {
                return self.openings.remove(&flow);
            }
        }
        None
    }

    fn due_at(&self, sent_at: ClockMillis) -> ClockMillis {
        if sent_at < self.overtaken_until {
            sent_at
        } else {
            sent_at.after(self.timeout)
        }
    }

    /// Returns when the next opening may be due; it may be answered before.
    pub(crate) fn next_due(&self) -> Option<ClockMillis> {
        if self.openings.is_empty() {
            return None;
        }
        self.sent.front().map(|(sent_at, _)| self.due_at(*sent_at))
    }
}
