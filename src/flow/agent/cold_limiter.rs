use std::collections::VecDeque;

use crate::clock::{ClockMillis, SpanMillis};

/// The span over which openings are counted. Clock readings are rounded down, so
/// that two of them 1,000 ms apart may be less than a second apart.
const SECOND_MILLIS: SpanMillis = SpanMillis::new(1_001);
/// The most openings that are remembered, which bounds the memory; a higher limit
/// counts as this one.
const MAX_OPENINGS_PER_SECOND: u32 = 4_096;
/// An agent that has just started lets only this part of the limit through for a
/// second, since its earlier run may have let all of it through just before: a target
/// bears half more than the limit in any second.
const RESTART_DIVISOR: u32 = 2;

/// Limits the openings that a cold target gets in any second to what its service
/// states.
///
/// Every opening to the target passes its agent, so the limit holds over all
/// senders.
#[derive(Debug, Clone, Default)]
pub(super) struct ColdLimiter {
    /// The stated limit in openings a second.
    limit: Option<u32>,
    /// Whether the target is or may be cold; the limit is in force then.
    cold: bool,
    /// When the target got the openings of the last second, at most
    /// `MAX_OPENINGS_PER_SECOND`.
    delivered: VecDeque<ClockMillis>,
    /// When this run of the agent got its first opening.
    first_opening_at: Option<ClockMillis>,
}

impl ColdLimiter {
    /// Sets the stated limit; zero counts as not stated.
    pub(super) fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit
            .filter(|limit| *limit > 0)
            .map(|limit| limit.min(MAX_OPENINGS_PER_SECOND));
    }

    /// Sets whether the target is or may be cold.
    pub(super) fn set_cold(&mut self, cold: bool) {
        self.cold = cold;
    }

    /// Returns whether the target may get another opening.
    pub(super) fn allows(&mut self, now: ClockMillis) -> bool {
        let first_opening_at = *self.first_opening_at.get_or_insert(now);
        while let Some(at) = self.delivered.front()
            && now.since(*at) >= SECOND_MILLIS
        {
            self.delivered.pop_front();
        }
        let Some(limit) = self.limit_in_force() else {
            return true;
        };
        let just_started = now.since(first_opening_at) < SECOND_MILLIS;
        let allowed = if just_started {
            limit.div_ceil(RESTART_DIVISOR)
        } else {
            limit
        };
        self.delivered.len() < allowed as usize
    }

    /// Records an opening that the target got. Openings count also before the limit
    /// is known, since it may come into force within the same second.
    pub(super) fn record(&mut self, now: ClockMillis) {
        if self.delivered.len() >= MAX_OPENINGS_PER_SECOND as usize {
            self.delivered.pop_front();
        }
        self.delivered.push_back(now);
    }

    /// Returns when the target may get another opening, `None` if it may now or if
    /// the agent has just started.
    pub(super) fn next_allowed(&self) -> Option<ClockMillis> {
        let limit = self.limit_in_force()? as usize;
        let last_in_the_way = self.delivered.len().checked_sub(limit)?;
        Some(self.delivered[last_in_the_way].after(SECOND_MILLIS))
    }

    /// Returns how many openings the target may get within `span`, `None` if the
    /// limit is not in force.
    pub(super) fn allowed_within(&self, span: SpanMillis) -> Option<usize> {
        let limit = u64::from(self.limit_in_force()?);
        let allowed = limit.saturating_mul(span.millis()) / SECOND_MILLIS.millis();
        usize::try_from(allowed.max(1)).ok()
    }

    fn limit_in_force(&self) -> Option<u32> {
        self.limit.filter(|_| self.cold)
    }
}
