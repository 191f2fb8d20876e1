/// Mean of the recent values of a series: all of them until `max_values` have been
/// recorded, then a moving average with that many values' weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RunningMean {
    sum: u64,
    values: u64,
    max_values: u64,
}

impl RunningMean {
    /// Creates a mean without values.
    pub(super) const fn new(max_values: u64) -> Self {
        Self {
            sum: 0,
            values: 0,
            max_values,
        }
    }

    /// Sets the mean to `value`, with the weight of `values` values.
    pub(super) const fn with_values(mut self, value: u64, values: u64) -> Self {
        self.sum = value.saturating_mul(values);
        self.values = values;
        self
    }

    /// Records a value.
    pub(super) fn record(&mut self, value: u64) {
        if self.values >= self.max_values {
            self.sum -= self.sum / self.values;
        } else {
            self.values += 1;
        }
        self.sum = self.sum.saturating_add(value);
    }

    /// Returns the mean, `None` before `min_values` values.
    pub(super) fn after(&self, min_values: u64) -> Option<u64> {
        let is_known = self.values >= min_values;
        self.sum
            .checked_div(self.values)
            .filter(|_| is_known)
            .map(|mean| mean.max(1))
    }

    /// Drops all values.
    pub(super) fn clear(&mut self) {
        *self = Self::new(self.max_values);
    }
}
