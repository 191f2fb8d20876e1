use std::{net::SocketAddrV4, ops::RangeInclusive};

use super::{
    FaultCause, ServiceLimits, ServiceSpec,
    fault_list::FaultList,
    rule_check::{check_rule, check_rule_order},
};

/// The maximum length of a service's or rule's name.
pub const MAX_NAME_CHARS: usize = 64;
/// The maximum number of rules in a service.
pub const MAX_RULES: usize = 64;

/// The allowed deadlines: 1 ms to one day.
pub(super) const DEADLINE_MILLIS: RangeInclusive<u64> = 1..=86_400_000;
const SLOTS: RangeInclusive<u64> = 1..=1_000;
const CONNECTIONS: RangeInclusive<u64> = 1..=100_000;
const QUEUE: RangeInclusive<u64> = 0..=10_000;
const RETRY_PERCENT: RangeInclusive<u64> = 0..=100;

/// Validates the service at `place`.
pub(super) fn check_service(service: &ServiceSpec, place: &str, faults: &mut FaultList) {
    check_name(&service.name, format!("{place}.name"), faults);
    check_address(service.address, format!("{place}.address"), faults);
    check_limits(service.limits, &format!("{place}.limits"), faults);
    let deadline = service.deadline.millis();
    faults.check_range(
        format!("{place}.deadline_millis"),
        deadline,
        &DEADLINE_MILLIS,
    );
    let retry_percent = u64::from(service.retry_percent);
    faults.check_range(
        format!("{place}.retry_percent"),
        retry_percent,
        &RETRY_PERCENT,
    );
    let count = service.rules.len();
    faults.check_count(format!("{place}.rules"), count, MAX_RULES);
    if count > MAX_RULES {
        return;
    }
    for (index, rule) in service.rules.iter().enumerate() {
        check_rule(rule, &format!("{place}.rules[{index}]"), faults);
    }
    check_rule_order(&service.rules, place, faults);
}

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

fn check_address(address: SocketAddrV4, place: String, faults: &mut FaultList) {
    let ip = address.ip();
    if ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast() {
        faults.push(place.clone(), FaultCause::UnusableAddress { address });
    }
    if address.port() == 0 {
        faults.push(place, FaultCause::PortZero);
    }
}

fn check_limits(limits: ServiceLimits, place: &str, faults: &mut FaultList) {
    faults.check_range(format!("{place}.slots"), u64::from(limits.slots), &SLOTS);
    faults.check_range(
        format!("{place}.connections"),
        u64::from(limits.connections),
        &CONNECTIONS,
    );
    faults.check_range(format!("{place}.queue"), u64::from(limits.queue), &QUEUE);
}
