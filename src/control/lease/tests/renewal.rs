//! Renewal and expiry of single leases.

use std::collections::BTreeMap;

use proptest::prelude::*;

use crate::{
    clock::{ClockMillis, SpanMillis},
    control::{
        lease::{LEASE_MILLIS, LeaseHolder, LeaseTable},
        server::tests::fixture::announcement,
        state::tests::generator::fixed_cases,
    },
    key::ServiceNumber,
};

pub(super) fn holder(service: u16, host: u8, incarnation: u64) -> LeaseHolder {
    let request = announcement("barge", host, incarnation);
    LeaseHolder {
        target: request.target,
        incarnation: request.incarnation,
        service: ServiceNumber::new(service),
    }
}

pub(super) fn renew(table: &mut LeaseTable, holder: LeaseHolder, now: u64) -> bool {
    table.renew(holder.target, holder.incarnation, ClockMillis::new(now))
}

pub(super) fn expired(table: &mut LeaseTable, now: u64) -> Vec<LeaseHolder> {
    let decision = table.decide_expiries(ClockMillis::new(now));
    let expired = decision.expired.into_iter();
    expired
        .map(|(target, incarnation)| LeaseHolder {
            target,
            incarnation,
            service: ServiceNumber::new(1),
        })
        .collect()
}

/// Three targets of service 1, granted at 0.
pub(super) fn three_targets() -> (LeaseTable, [LeaseHolder; 3]) {
    let holders = [1, 2, 3].map(|host| holder(1, host, 1));
    (
        LeaseTable::with_holders(holders, ClockMillis::ORIGIN),
        holders,
    )
}

#[test]
fn a_single_silent_target_expires_after_its_lease() {
    let (mut table, holders) = three_targets();
    for now in [5_000, 10_000, 14_999] {
        renew(&mut table, holders[0], now);
        renew(&mut table, holders[1], now);
        assert!(expired(&mut table, now).is_empty());
    }
    assert_eq!(expired(&mut table, 15_000), [holders[2]]);
}

#[test]
fn a_heartbeat_after_the_deadline_but_before_the_decision_renews_the_lease() {
    let (mut table, holders) = three_targets();
    renew(&mut table, holders[0], 14_000);
    renew(&mut table, holders[1], 14_000);
    assert!(renew(&mut table, holders[2], 15_500));
    assert!(expired(&mut table, 15_600).is_empty());
}

#[test]
fn an_expiry_that_is_not_committed_is_requested_again() {
    let (mut table, holders) = three_targets();
    for now in [15_000, 17_000] {
        renew(&mut table, holders[0], now - 1);
        renew(&mut table, holders[1], now - 1);
        assert_eq!(expired(&mut table, now), [holders[2]]);
    }
    table.remove_target(holders[2].target);
    assert!(expired(&mut table, 19_000).is_empty());
}

#[test]
fn a_reused_address_has_the_lease_of_its_new_incarnation_only() {
    let (mut table, holders) = three_targets();
    let next = holder(2, 3, 9);
    table.grant(next, ClockMillis::new(10_000));
    assert!(!renew(&mut table, holders[2], 11_000));
    assert!(renew(&mut table, next, 11_000));
    assert_eq!(table.len(), 3);
    renew(&mut table, holders[0], 14_000);
    renew(&mut table, holders[1], 14_000);
    assert!(expired(&mut table, 16_000).is_empty());
}

#[test]
fn a_new_leader_grants_full_leases_before_any_expire() {
    let holders = [1, 2, 3].map(|host| holder(1, host, 1));
    let elected_at = 1_000_000;
    let mut table = LeaseTable::with_holders(holders, ClockMillis::new(elected_at));
    assert!(expired(&mut table, elected_at + LEASE_MILLIS.millis() - 1).is_empty());
    assert_eq!(table.len(), 3);
}

#[test]
fn an_incarnation_that_expired_and_registered_again_expires_only_once_per_lease() {
    let (mut table, holders) = three_targets();
    for round in 1..=5 {
        let now = round * 15_000;
        renew(&mut table, holders[0], now - 1);
        renew(&mut table, holders[1], now - 1);
        assert_eq!(expired(&mut table, now), [holders[2]]);
        table.remove_target(holders[2].target);
        table.grant(holders[2], ClockMillis::new(now));
    }
}

proptest! {
    #![proptest_config(fixed_cases(256, 51))]

    #[test]
    fn no_lease_expires_within_its_duration_after_a_heartbeat(
        heartbeats in prop::collection::vec((1_u8..7, 0_u64..4_000), 1..200),
    ) {
        let holders: Vec<LeaseHolder> = (1..7).map(|host| holder(1, host, 1)).collect();
        let mut table = LeaseTable::with_holders(holders.clone(), ClockMillis::ORIGIN);
        let mut last_heartbeat: BTreeMap<LeaseHolder, ClockMillis> = BTreeMap::new();
        let mut now = ClockMillis::ORIGIN;
        for (host, step) in heartbeats {
            now = now.after(SpanMillis::new(step));
            let holder = holders[usize::from(host - 1)];
            if table.renew(holder.target, holder.incarnation, now) {
                last_heartbeat.insert(holder, now);
            }
            for holder in expired(&mut table, now.millis()) {
                let last = last_heartbeat.get(&holder).copied().unwrap_or(ClockMillis::ORIGIN);
                prop_assert!(now.since(last) >= LEASE_MILLIS);
                table.remove_target(holder.target);
            }
        }
    }
}
