use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use metrics::HistogramFn;

/// The upper bounds of the buckets, in milliseconds.
const BOUNDS_MILLIS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
];

/// A histogram of times in milliseconds with fixed buckets.
#[derive(Debug, Default)]
pub(super) struct LatencyHistogram {
    /// The number of values at or below each bound, but above the one before.
    buckets: [AtomicU64; BOUNDS_MILLIS.len()],
    above: AtomicU64,
    sum: Mutex<f64>,
}

/// The contents of a histogram.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct HistogramCounts {
    /// Each bound with the number of values at or below it.
    pub(super) cumulative: Vec<(f64, u64)>,
    /// The number of values.
    pub(super) count: u64,
    /// Their sum.
    pub(super) sum: f64,
}

impl LatencyHistogram {
    /// Returns the contents.
    pub(super) fn counts(&self) -> HistogramCounts {
        let mut count = 0;
        let buckets = BOUNDS_MILLIS.iter().zip(&self.buckets);
        let cumulative = buckets
            .map(|(bound, bucket)| {
                count += bucket.load(Ordering::Relaxed);
                (*bound, count)
            })
            .collect();
        HistogramCounts {
            cumulative,
            count: count + self.above.load(Ordering::Relaxed),
            sum: *self.sum.lock().unwrap_or_else(PoisonError::into_inner),
        }
    }
}

impl HistogramFn for LatencyHistogram {
    fn record(&self, value: f64) {
        let index = BOUNDS_MILLIS.iter().position(|bound| value <= *bound);
        let bucket = index.map_or(&self.above, |index| &self.buckets[index]);
        bucket.fetch_add(1, Ordering::Relaxed);
        *self.sum.lock().unwrap_or_else(PoisonError::into_inner) += value;
    }
}
