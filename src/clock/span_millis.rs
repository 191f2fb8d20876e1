use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// A duration in milliseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SpanMillis(u64);

impl SpanMillis {
    /// A span of 0 ms.
    pub const ZERO: Self = Self(0);

    /// Creates a span of `millis`.
    #[must_use]
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the span in milliseconds.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Returns the span in milliseconds as a float, for metrics.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
    pub const fn millis_float(self) -> f64 {
        self.0 as f64
    }

    /// Converts the span to a `Duration`.
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Multiplies the span by `factor`, saturating at the maximum.
    #[must_use]
    pub const fn saturating_mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }

    /// Adds both spans, saturating at the maximum.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Subtracts `other`, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for SpanMillis {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}
