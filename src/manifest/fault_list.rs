use std::ops::RangeInclusive;

use super::{FaultCause, ManifestFault};

/// The maximum number of faults that one check reports.
const MAX_FAULTS: usize = 200;

/// Collects the faults of one manifest, up to `MAX_FAULTS`.
#[derive(Debug, Default)]
pub(super) struct FaultList {
    faults: Vec<ManifestFault>,
}

impl FaultList {
    /// Adds a fault unless the list is full.
    pub(super) fn push(&mut self, place: String, cause: FaultCause) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(ManifestFault::new(place, cause));
        }
    }

    /// Adds a fault if `value` is outside `range`.
    pub(super) fn check_range(&mut self, place: String, value: u64, range: &RangeInclusive<u64>) {
        if range.contains(&value) {
            return;
        }
        let cause = FaultCause::OutOfRange {
            value,
            min: *range.start(),
            max: *range.end(),
        };
        self.push(place, cause);
    }

    /// Adds a fault if `count` entries are more than `max`.
    pub(super) fn check_count(&mut self, place: String, count: usize, max: usize) {
        if count > max {
            self.push(place, FaultCause::TooMany { count, max });
        }
    }

    /// Returns whether further faults would be dropped.
    pub(super) fn is_full(&self) -> bool {
        self.faults.len() >= MAX_FAULTS
    }

    /// Returns the faults as an error, if there are any.
    pub(super) fn into_result(self) -> Result<(), Vec<ManifestFault>> {
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(self.faults)
        }
    }
}
