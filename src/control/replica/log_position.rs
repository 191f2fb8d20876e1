use std::fmt;

use serde::{Deserialize, Serialize};

/// The place of an entry in the log; the first entry has 1.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub(crate) struct LogIndex(u64);

impl LogIndex {
    /// The place before the first entry.
    pub(crate) const ZERO: Self = Self(0);

    /// Wraps a plain number.
    pub(crate) const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the plain number.
    pub(crate) const fn number(self) -> u64 {
        self.0
    }

    /// Returns the place after this one.
    pub(crate) const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns the place before this one, at least zero.
    pub(crate) const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// Returns the place `count` entries earlier, at least zero.
    pub(crate) const fn back(self, count: u64) -> Self {
        Self(self.0.saturating_sub(count))
    }

    /// Returns how many entries lie after `earlier` up to this place.
    pub(crate) const fn distance(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The number of an election; at most one leader has it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub(crate) struct TermNumber(u64);

impl TermNumber {
    /// The term before the first election.
    pub(crate) const ZERO: Self = Self(0);

    /// Wraps a plain number.
    pub(crate) const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the plain number.
    pub(crate) const fn number(self) -> u64 {
        self.0
    }

    /// Returns the term after this one.
    pub(crate) const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for TermNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
