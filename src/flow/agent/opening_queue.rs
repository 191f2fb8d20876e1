use std::cmp::Reverse;

use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{FlowKey, HopHeader, pending_openings::PendingOpening},
};

/// Maximum number of openings queued at an agent.
const MAX_QUEUED_OPENINGS: usize = 256;
/// Maximum time that an opening waits; callers give up on one after 1.4 s.
const MAX_WAIT_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// An opening may wait for a third of its route's timeout, so that a refused
/// caller has time to retry.
const TIMEOUT_WAIT_DIVISOR: u64 = 3;
/// A request that starts within half of its route's latency goal is likely to
/// meet the goal.
const GOAL_AGE_DIVISOR: u64 = 2;

/// Openings that wait for a free slot of the target.
///
/// Openings that can still meet their latency goal go first, by rank and then
/// newest first: in an overload the oldest ones miss their goal anyway and would
/// delay those behind them beyond theirs.
#[derive(Debug, Default)]
pub(crate) struct OpeningQueue {
    openings: Vec<PendingOpening>,
}

impl OpeningQueue {
    /// Adds an opening. Returns the one that would go last if more are queued than
    /// `capacity`, the number that the target can start before their timeout.
    pub(crate) fn push(
        &mut self,
        opening: PendingOpening,
        capacity: Option<usize>,
        now: ClockMillis,
    ) -> Option<PendingOpening> {
        self.openings.push(opening);
        let limit = capacity.map_or(MAX_QUEUED_OPENINGS, |capacity| {
            capacity.min(MAX_QUEUED_OPENINGS)
        });
        if self.openings.len() <= limit {
            return None;
        }
        let openings = self.openings.iter().enumerate();
        let last = openings
            .max_by_key(|(_, opening)| priority_key(opening, now))?
            .0;
        Some(self.openings.swap_remove(last))
    }

    /// Returns whether an opening of the flow is queued.
    pub(crate) fn contains(&self, flow: FlowKey) -> bool {
        self.openings.iter().any(|opening| opening.flow == flow)
    }

    /// Returns the number of queued openings.
    pub(crate) fn len(&self) -> usize {
        self.openings.len()
    }

    /// Returns the header of the opening that goes next.
    pub(crate) fn next_header(&self, now: ClockMillis) -> Option<HopHeader> {
        let index = self.next_index(now)?;
        Some(self.openings[index].header)
    }

    /// Removes and returns the opening that goes next.
    pub(crate) fn take_next(&mut self, now: ClockMillis) -> Option<PendingOpening> {
        let index = self.next_index(now)?;
        Some(self.openings.swap_remove(index))
    }

    fn next_index(&self, now: ClockMillis) -> Option<usize> {
        let openings = self.openings.iter().enumerate();
        let next = openings.min_by_key(|(_, opening)| priority_key(opening, now));
        next.map(|(index, _)| index)
    }

    /// Removes and returns an opening that has waited too long.
    pub(crate) fn take_expired(&mut self, now: ClockMillis) -> Option<PendingOpening> {
        let mut openings = self.openings.iter();
        let index = openings.position(|opening| wait_deadline(opening) <= now)?;
        Some(self.openings.swap_remove(index))
    }

    /// Removes and returns any opening, to refuse it.
    pub(crate) fn take_any(&mut self) -> Option<PendingOpening> {
        self.openings.pop()
    }

    /// Returns the earliest wait deadline of the queued openings.
    pub(crate) fn next_expiry(&self) -> Option<ClockMillis> {
        self.openings.iter().map(wait_deadline).min()
    }
}

fn wait_deadline(opening: &PendingOpening) -> ClockMillis {
    let timeout = opening.header.urgency.timeout.millis();
    let max_wait = SpanMillis::new(timeout / TIMEOUT_WAIT_DIVISOR).min(MAX_WAIT_MILLIS);
    opening.sent_at.after(max_wait)
}

/// Returns the sort key of an opening; the lowest goes first.
fn priority_key(opening: &PendingOpening, now: ClockMillis) -> (bool, u8, Reverse<ClockMillis>) {
    let urgency = opening.header.urgency;
    let age = now.since(opening.first_sent_at);
    let late = age.saturating_mul(GOAL_AGE_DIVISOR) > urgency.goal;
    (late, urgency.rank, Reverse(opening.first_sent_at))
}
