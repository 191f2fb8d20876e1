use std::fmt;

use serde::Serialize;

use crate::clock::ClockMillis;

/// A simulated instant or time span in microseconds.
///
/// Message delays are below a millisecond, too short for `ClockMillis`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize)]
#[serde(transparent)]
pub(crate) struct ModelMicros(u64);

impl ModelMicros {
    /// The start of a run.
    pub(crate) const ZERO: Self = Self(0);

    pub(crate) const fn new(micros: u64) -> Self {
        Self(micros)
    }

    pub(crate) const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    pub(crate) const fn from_seconds(seconds: u64) -> Self {
        Self(seconds * 1_000_000)
    }

    /// Rounds a number of microseconds down; negative numbers become zero.
    pub(crate) fn from_float(micros: f64) -> Self {
        Self(micros.max(0.0) as u64)
    }

    pub(crate) const fn micros(self) -> u64 {
        self.0
    }

    /// Converts to the product's clock, rounded down.
    pub(crate) const fn to_clock(self) -> ClockMillis {
        ClockMillis::new(self.0 / 1_000)
    }

    /// Returns the time in fractional milliseconds.
    pub(crate) fn as_millis(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Returns the time `span` later.
    pub(crate) const fn after(self, span: Self) -> Self {
        Self(self.0 + span.0)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub(crate) const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    pub(crate) fn scaled(self, factor: f64) -> Self {
        Self::from_float(self.0 as f64 * factor)
    }
}

impl fmt::Display for ModelMicros {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.1} ms", self.as_millis())
    }
}
