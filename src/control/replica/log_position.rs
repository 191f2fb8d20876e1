use std::fmt;

use serde::{Deserialize, Serialize};

/// Index of a log entry; the first entry has index 1.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub(crate) struct LogIndex(u64);

impl LogIndex {
    /// The index before the first entry.
    pub(crate) const ZERO: Self = Self(0);

    pub(crate) const fn new(number: u64) -> Self {
        Self(number)
    }

    pub(crate) const fn number(self) -> u64 {
        self.0
    }

    /// Returns the index after this one.
    pub(crate) const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns the index before this one, at least zero.
    pub(crate) const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// Returns the index `count` entries earlier, at least zero.
    pub(crate) const fn back(self, count: u64) -> Self {
        Self(self.0.saturating_sub(count))
    }

    /// Returns the number of entries after `earlier`, up to and including this one.
    pub(crate) const fn distance(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Raft term; it has at most one leader.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub(crate) struct TermNumber(u64);

impl TermNumber {
    /// The term before the first election.
    pub(crate) const ZERO: Self = Self(0);

    pub(crate) const fn new(number: u64) -> Self {
        Self(number)
    }

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
