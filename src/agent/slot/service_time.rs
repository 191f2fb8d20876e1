use crate::{clock::SpanMillis, manifest::RequestPriority};

/// The mean service time before the first request has finished.
const INITIAL_MEAN_MILLIS: u64 = 50;
/// Fixed-point scale of the moving average.
const SCALE: u64 = 16;
/// A new sample has the weight `1 / SAMPLE_DIVISOR`.
const SAMPLE_DIVISOR: u64 = 8;
/// The number of priorities.
const PRIORITY_COUNT: usize = 3;

/// An exponential moving average, per priority, of how long requests hold a slot.
#[derive(Debug)]
pub(crate) struct ServiceTime {
    means: [u64; PRIORITY_COUNT],
}

impl ServiceTime {
    /// Creates the initial estimate.
    pub(crate) fn new() -> Self {
        Self {
            means: [INITIAL_MEAN_MILLIS * SCALE; PRIORITY_COUNT],
        }
    }

    /// Adds the time for which a finished request held its slot.
    pub(crate) fn record(&mut self, priority: RequestPriority, held: SpanMillis) {
        let mean = &mut self.means[priority_index(priority)];
        let sample = held.millis().saturating_mul(SCALE);
        *mean = mean
            .saturating_sub(*mean / SAMPLE_DIVISOR)
            .saturating_add(sample / SAMPLE_DIVISOR);
    }

    /// Returns the mean service time of a priority.
    pub(crate) fn mean(&self, priority: RequestPriority) -> SpanMillis {
        SpanMillis::new(self.means[priority_index(priority)] / SCALE)
    }
}

/// Returns the array index of a priority; the most urgent is 0.
pub(super) fn priority_index(priority: RequestPriority) -> usize {
    match priority {
        RequestPriority::Urgent => 0,
        RequestPriority::Normal => 1,
        RequestPriority::Bulk => 2,
    }
}
