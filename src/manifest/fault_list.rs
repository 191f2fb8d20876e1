use std::ops::RangeInclusive;

use super::{FaultCause, ManifestFault};

/// The most faults that one check reports.
const MOST_FAULTS: usize = 200;

/// Collects the faults of one manifest, up to a bound.
#[derive(Debug, Default)]
pub(super) struct FaultList {
    faults: Vec<ManifestFault>,
}

impl FaultList {
    /// Adds a fault unless the list is full.
    pub(super) fn push(&mut self, place: String, cause: FaultCause) {
        if self.faults.len() < MOST_FAULTS {
            self.faults.push(ManifestFault::new(place, cause));
        }
    }

    /// Adds a fault if `value` lies outside `range`.
    pub(super) fn check_range(&mut self, place: String, value: u64, range: &RangeInclusive<u64>) {
        if range.contains(&value) {
            return;
        }
        let cause = FaultCause::OutOfRange {
            value,
            least: *range.start(),
            most: *range.end(),
        };
        self.push(place, cause);
    }

    /// Adds a fault if a list of `count` entries is longer than `most`.
    pub(super) fn check_count(&mut self, place: String, count: usize, most: usize) {
        if count > most {
            self.push(place, FaultCause::TooMany { count, most });
        }
    }

    /// Returns whether the list can't take more faults.
    pub(super) fn is_full(&self) -> bool {
        self.faults.len() >= MOST_FAULTS
    }

    /// Returns the outcome of the check.
    pub(super) fn into_result(self) -> Result<(), Vec<ManifestFault>> {
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(self.faults)
        }
    }
}
