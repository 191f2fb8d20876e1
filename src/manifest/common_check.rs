//! Checks of what services and rules have in common.

use std::ops::RangeInclusive;

use super::{FaultCause, fault_list::FaultList};

/// The maximum length of a service's or rule's name.
pub const MAX_NAME_CHARS: usize = 64;
/// The allowed deadlines: 1 ms to one day.
pub(super) const DEADLINE_MILLIS: RangeInclusive<u64> = 1..=86_400_000;

/// Validates the length and characters of a name.
pub(super) fn check_name(name: &str, place: String, faults: &mut FaultList) {
    let is_valid = !name.is_empty()
        && name.len() <= MAX_NAME_CHARS
        && name.bytes().all(is_name_byte)
        && name != "."
        && name != "..";
    if !is_valid {
        let cause = FaultCause::InvalidName {
            name: truncate(name, MAX_NAME_CHARS),
            max: MAX_NAME_CHARS,
        };
        faults.push(place, cause);
    }
}

/// Returns the first `max` characters of a text, for use in an error.
pub(super) fn truncate(text: &str, max: usize) -> String {
    text.chars().take(max).collect()
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
}
