use std::collections::VecDeque;

use crate::clock::{ClockMillis, SpanMillis};

/// The number of requests that the rate covers.
const MAX_REQUESTS: usize = 32;
/// The age from which a request no longer counts, so that a target that gets few
/// requests is judged by its present state.
const MAX_AGE_MILLIS: SpanMillis = SpanMillis::new(4_000);
/// The number of requests that count at least: one failed request of a target that
/// gets few of them is no rate.
const MIN_REQUESTS: usize = 8;

/// How a request at the target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// The target answered.
    Answered,
    /// The target reset the request, or did not answer in time.
    Failed,
}

/// Measures the share of the recent requests that a target fails.
#[derive(Debug, Clone, Default)]
pub(super) struct FailureMeter {
    recent: VecDeque<(ClockMillis, RequestOutcome)>,
    /// Failed requests since the agent started.
    failed: u64,
}

impl FailureMeter {
    /// Records the end of a request.
    pub(super) fn record(&mut self, outcome: RequestOutcome, now: ClockMillis) {
        if self.recent.len() >= MAX_REQUESTS {
            self.recent.pop_front();
        }
        self.recent.push_back((now, outcome));
        self.failed += u64::from(outcome == RequestOutcome::Failed);
    }

    /// Returns the share of failed requests among the recent ones, in thousandths.
    pub(super) fn permille(&mut self, now: ClockMillis) -> u16 {
        while let Some((at, _)) = self.recent.front()
            && now.since(*at) > MAX_AGE_MILLIS
        {
            self.recent.pop_front();
        }
        let outcomes = self.recent.iter();
        let failed = outcomes
            .filter(|(_, outcome)| *outcome == RequestOutcome::Failed)
            .count();
        let permille = failed * 1_000 / self.recent.len().max(MIN_REQUESTS);
        u16::try_from(permille).unwrap_or(1_000)
    }

    /// Returns the number of failed requests since the agent started.
    pub(super) fn failed(&self) -> u64 {
        self.failed
    }

    /// Drops what is known of the target, since another incarnation runs now.
    pub(super) fn clear(&mut self) {
        self.recent.clear();
    }
}
