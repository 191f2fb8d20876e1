use std::fmt;

use serde::{Deserialize, Serialize};

use super::SpanMillis;

/// An instant in milliseconds since the origin of a process's clock.
///
/// Instants of different processes must not be compared.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockMillis(u64);

impl ClockMillis {
    /// The origin of the clock.
    pub const ORIGIN: Self = Self(0);

    /// Creates the instant `millis` after the origin.
    #[must_use]
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the origin.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Returns the instant `span` later, saturating at the maximum.
    #[must_use]
    pub const fn after(self, span: SpanMillis) -> Self {
        Self(self.0.saturating_add(span.millis()))
    }

    /// Returns the instant `span` earlier, saturating at the origin.
    #[must_use]
    pub const fn before(self, span: SpanMillis) -> Self {
        Self(self.0.saturating_sub(span.millis()))
    }

    /// Returns the time since `earlier`, or zero if that is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> SpanMillis {
        SpanMillis::new(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for ClockMillis {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}
