use std::{net::SocketAddrV4, ops::RangeInclusive};

use super::{
    FaultCause, ServiceLimits, ServiceSpec,
    common_check::{DEADLINE_MILLIS, check_name},
    fault_list::FaultList,
    rule_check::{check_rule, check_rule_order},
};

/// The maximum number of rules in a service.
pub const MAX_RULES: usize = 64;

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
