use crate::{clock::SpanMillis, manifest::RequestPriority};

/// The service time that is assumed before the first request has finished.
const FIRST_ESTIMATE_MILLIS: u64 = 50;
/// Fixed-point scale of the running mean.
const SCALE: u64 = 16;
/// The weight of a new sample is one over this.
const SAMPLE_DIVISOR: u64 = 8;
/// The number of priorities.
const CLASSES: usize = 3;

/// The running mean of the time that requests of each priority hold a slot.
#[derive(Debug)]
pub(crate) struct ServiceTime {
    means: [u64; CLASSES],
}

impl ServiceTime {
    /// Creates the estimate of a target that has not answered yet.
    pub(crate) fn new() -> Self {
        Self {
            means: [FIRST_ESTIMATE_MILLIS * SCALE; CLASSES],
        }
    }

    /// Adds the time that a finished request held its slot.
    pub(crate) fn record(&mut self, priority: RequestPriority, held: SpanMillis) {
        let mean = &mut self.means[class_index(priority)];
        let sample = held.millis().saturating_mul(SCALE);
        *mean = mean
            .saturating_sub(*mean / SAMPLE_DIVISOR)
            .saturating_add(sample / SAMPLE_DIVISOR);
    }

    /// Returns the mean of one priority.
    pub(crate) fn mean(&self, priority: RequestPriority) -> SpanMillis {
        SpanMillis::new(self.means[class_index(priority)] / SCALE)
    }
}

/// Returns the place of a priority, the most urgent first.
pub(super) fn class_index(priority: RequestPriority) -> usize {
    match priority {
        RequestPriority::Urgent => 0,
        RequestPriority::Normal => 1,
        RequestPriority::Bulk => 2,
    }
}
