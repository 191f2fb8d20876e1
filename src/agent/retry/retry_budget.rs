use serde::Serialize;

use crate::clock::ClockMillis;

/// The length of one bucket of the window.
const BUCKET_MILLIS: u64 = 1_000;
/// The buckets of the window.
const BUCKETS: usize = 10;
/// The same count, to compute with times.
const BUCKET_SPAN: u64 = 10;
/// Retries that a window allows however few requests there were.
const LEAST_RETRIES: u64 = 1;

/// What happened in one bucket of the window.
#[derive(Debug, Clone, Copy, Default)]
struct RetryBucket {
    number: u64,
    requests: u64,
    retries: u64,
}

/// Requests and retries within the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct RetryCounts {
    /// Requests that came from callers.
    pub(crate) requests: u64,
    /// Attempts that were made again.
    pub(crate) retries: u64,
}

/// Limits retries to a share of the recent requests.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    percent: u8,
    buckets: [RetryBucket; BUCKETS],
}

impl RetryBudget {
    /// Creates a budget of so many retries per hundred recent requests.
    pub(crate) fn new(percent: u8) -> Self {
        Self {
            percent,
            buckets: [RetryBucket::default(); BUCKETS],
        }
    }

    /// Puts another share in force.
    pub(crate) fn set_percent(&mut self, percent: u8) {
        self.percent = percent;
    }

    /// Counts a request that came from a caller.
    pub(crate) fn record_request(&mut self, now: ClockMillis) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry out of the budget; returns whether it was there.
    pub(crate) fn take_retry(&mut self, now: ClockMillis) -> bool {
        let counts = self.counts(now);
        if counts.retries >= self.allowed(counts.requests) {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Returns what happened within the window that ends at `now`.
    pub(crate) fn counts(&self, now: ClockMillis) -> RetryCounts {
        let current = now.millis() / BUCKET_MILLIS;
        let mut counts = RetryCounts {
            requests: 0,
            retries: 0,
        };
        for bucket in &self.buckets {
            if bucket.number + BUCKET_SPAN > current {
                counts.requests += bucket.requests;
                counts.retries += bucket.retries;
            }
        }
        counts
    }

    fn allowed(&self, requests: u64) -> u64 {
        if self.percent == 0 {
            return 0;
        }
        (requests * u64::from(self.percent) / 100).max(LEAST_RETRIES)
    }

    fn bucket(&mut self, now: ClockMillis) -> &mut RetryBucket {
        let number = now.millis() / BUCKET_MILLIS;
        let index = usize::try_from(number % BUCKET_SPAN).unwrap_or(0);
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
