use std::collections::VecDeque;

use crate::clock::{ClockMillis, SpanMillis};

/// The span over which openings are counted. Clock readings are rounded down, so
/// that two of them 1,000 ms apart may be less than a second apart.
const SECOND_MILLIS: SpanMillis = SpanMillis::new(1_001);
/// The highest limit in openings a second, which bounds the memory; a higher one
/// counts as this one.
const MAX_OPENINGS_PER_SECOND: u32 = 4_096;

/// Limits the openings that a cold target gets in any second to what its service
/// states.
///
/// Every opening to the target passes its agent, so the limit holds over all
/// senders.
#[derive(Debug, Clone, Default)]
pub(super) struct ColdLimiter {
    /// The stated limit in openings a second.
    limit: Option<u32>,
    /// Whether the target says that it is cold; the limit is in force then.
    warming: bool,
    /// When the target got its last openings, at most as many as the limit.
    delivered: VecDeque<ClockMillis>,
}

impl ColdLimiter {
    /// Sets the stated limit; zero counts as not stated.
    pub(super) fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit
            .filter(|limit| *limit > 0)
            .map(|limit| limit.min(MAX_OPENINGS_PER_SECOND));
        let kept = self.limit.unwrap_or_default() as usize;
        while self.delivered.len() > kept {
            self.delivered.pop_front();
        }
    }

    /// Sets whether the target says that it is cold.
    pub(super) fn set_warming(&mut self, warming: bool) {
        self.warming = warming;
    }

    /// Returns whether the target may get another opening.
    pub(super) fn allows(&mut self, now: ClockMillis) -> bool {
        while let Some(at) = self.delivered.front()
            && now.since(*at) >= SECOND_MILLIS
        {
            self.delivered.pop_front();
        }
        self.limit_in_force()
            .is_none_or(|limit| self.delivered.len() < limit as usize)
    }

    /// Records an opening that the target got.
    pub(super) fn record(&mut self, now: ClockMillis) {
        let Some(limit) = self.limit else {
            return;
        };
        if self.delivered.len() >= limit as usize {
            self.delivered.pop_front();
        }
        self.delivered.push_back(now);
    }

    /// Returns when the target may get another opening, `None` if it may now.
    pub(super) fn next_allowed(&self) -> Option<ClockMillis> {
        let limit = self.limit_in_force()? as usize;
        let oldest = self.delivered.front()?;
        (self.delivered.len() >= limit).then(|| oldest.after(SECOND_MILLIS))
    }

    /// Returns how many openings the target may get within `span`, `None` if the
    /// limit is not in force.
    pub(super) fn allowed_within(&self, span: SpanMillis) -> Option<usize> {
        let limit = u64::from(self.limit_in_force()?);
        let allowed = limit.saturating_mul(span.millis()) / SECOND_MILLIS.millis();
        usize::try_from(allowed.max(1)).ok()
    }

    fn limit_in_force(&self) -> Option<u32> {
        self.limit.filter(|_| self.warming)
    }
}
