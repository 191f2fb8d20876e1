use std::cmp::Reverse;

use super::{FlowKey, opening_watch::WatchedOpening};
use crate::clock::{ClockMillis, SpanMillis};

/// The most openings that wait at an agent.
const MAX_WAITING: usize = 256;
/// The longest that an opening waits: callers give one up after 1.4 s.
const LONGEST_WAIT_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// The share of a route's timeout that an opening may wait, one in so many, so
/// that a refused caller has time to try again.
const TIMEOUT_PARTS: u64 = 3;
/// The share of a route's goal, one in so many, within which a request that
/// begins is likely to be answered in time.
const GOAL_PARTS: u64 = 2;

/// Openings that wait for a free slot of the target.
///
/// The target takes first what can still be answered in time: by rank, and the
/// newest first, since in an overload the oldest would be late anyway and would
/// make those behind it late as well.
#[derive(Debug, Default)]
pub(crate) struct OpeningQueue {
    waiting: Vec<WatchedOpening>,
}

impl OpeningQueue {
    /// Adds an opening; returns the one whose turn would come last, if more wait
    /// than the target can begin before their timeout, as told by `servable`.
    pub(crate) fn push(
        &mut self,
        opening: WatchedOpening,
        servable: Option<usize>,
        now: ClockMillis,
    ) -> Option<WatchedOpening> {
        self.waiting.push(opening);
        let most = servable.map_or(MAX_WAITING, |servable| servable.min(MAX_WAITING));
        if self.waiting.len() <= most {
            return None;
        }
        let waiting = self.waiting.iter().enumerate();
        let last = waiting.max_by_key(|(_, opening)| turn_of(opening, now))?.0;
        Some(self.waiting.swap_remove(last))
    }

    /// Returns whether an opening of the flow waits.
    pub(crate) fn holds(&self, flow: FlowKey) -> bool {
        self.waiting.iter().any(|opening| opening.flow == flow)
    }

    /// Returns the number of openings that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Takes the opening that the target should get next.
    pub(crate) fn take_next(&mut self, now: ClockMillis) -> Option<WatchedOpening> {
        let waiting = self.waiting.iter().enumerate();
        let place = waiting.min_by_key(|(_, opening)| turn_of(opening, now))?.0;
        Some(self.waiting.swap_remove(place))
    }

    /// Takes an opening that has waited too long.
    pub(crate) fn take_lapsed(&mut self, now: ClockMillis) -> Option<WatchedOpening> {
        let mut waiting = self.waiting.iter();
        let place = waiting.position(|opening| lapse_of(opening) <= now)?;
        Some(self.waiting.swap_remove(place))
    }

    /// Takes any opening, to refuse it.
    pub(crate) fn take_any(&mut self) -> Option<WatchedOpening> {
        self.waiting.pop()
    }

    /// Returns when the next opening will have waited too long.
    pub(crate) fn next_lapse(&self) -> Option<ClockMillis> {
        self.waiting.iter().map(lapse_of).min()
    }
}

fn lapse_of(opening: &WatchedOpening) -> ClockMillis {
    let timeout = opening.header.urgency.timeout.millis();
    let longest = SpanMillis::new(timeout / TIMEOUT_PARTS).min(LONGEST_WAIT_MILLIS);
    opening.sent_at.after(longest)
}

/// Returns the key by which openings get their turn; the least goes first.
fn turn_of(opening: &WatchedOpening, now: ClockMillis) -> (bool, u8, Reverse<ClockMillis>) {
    let urgency = opening.header.urgency;
    let age = now.since(opening.asked_at);
    let late = age.times(GOAL_PARTS) > urgency.goal;
    (late, urgency.rank, Reverse(opening.asked_at))
}
