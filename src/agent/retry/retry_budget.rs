use serde::Serialize;

use crate::clock::ClockMillis;

/// The length of one bucket of the sliding window.
const BUCKET_MILLIS: u64 = 1_000;
/// The number of buckets in the window.
const BUCKET_COUNT: usize = 10;
/// `BUCKET_COUNT` as the type of bucket numbers.
const WINDOW_BUCKETS: u64 = 10;
/// Retries allowed per window however few requests there were, unless the percentage is 0.
const MIN_RETRIES: u64 = 1;

/// The counts of one bucket of the window.
#[derive(Debug, Clone, Copy, Default)]
struct RetryBucket {
    number: u64,
    requests: u64,
    retries: u64,
}

/// Counts within the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct RetryCounts {
    /// Requests that came from callers.
    pub(crate) requests: u64,
    /// Retried attempts.
    pub(crate) retries: u64,
}

/// Limits retries to a percentage of recent requests.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    percent: u8,
    buckets: [RetryBucket; BUCKET_COUNT],
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred recent requests.
    pub(crate) fn new(percent: u8) -> Self {
        Self {
            percent,
            buckets: [RetryBucket::default(); BUCKET_COUNT],
        }
    }

    /// Changes the percentage.
    pub(crate) fn set_percent(&mut self, percent: u8) {
        self.percent = percent;
    }

    /// Counts a request that came from a caller.
    pub(crate) fn record_request(&mut self, now: ClockMillis) {
        self.bucket(now).requests += 1;
    }

    /// Spends one retry; returns `false` if the budget has none left.
    pub(crate) fn try_spend(&mut self, now: ClockMillis) -> bool {
        let counts = self.counts(now);
        if counts.retries >= self.allowed_retries(counts.requests) {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Returns the counts of the window that ends at `now`.
    pub(crate) fn counts(&self, now: ClockMillis) -> RetryCounts {
        let current = now.millis() / BUCKET_MILLIS;
        let mut counts = RetryCounts {
            requests: 0,
            retries: 0,
        };
        for bucket in &self.buckets {
            if bucket.number + WINDOW_BUCKETS > current {
                counts.requests += bucket.requests;
                counts.retries += bucket.retries;
            }
        }
        counts
    }

    fn allowed_retries(&self, requests: u64) -> u64 {
        if self.percent == 0 {
            return 0;
        }
        (requests * u64::from(self.percent) / 100).max(MIN_RETRIES)
    }

    fn bucket(&mut self, now: ClockMillis) -> &mut RetryBucket {
        let number = now.millis() / BUCKET_MILLIS;
        let index = usize::try_from(number % WINDOW_BUCKETS).unwrap_or(0);
        let bucket = &mut self.buckets[index];
        if bucket.number != number {
            *bucket = RetryBucket {
                number,
                ..RetryBucket::default()
            };
        }
        bucket
    }
}
