//! Leases of single runs.

use std::collections::BTreeMap;

use proptest::prelude::*;

use crate::{
    clock::{ClockMillis, SpanMillis},
    control::{
        lease::{LEASE_MILLIS, LeaseClaim, LeaseTable},
        server::tests::fixture::announcement,
        state::tests::generator::fixed_cases,
    },
    key::ServiceNumber,
};

pub(super) fn claim(service: u16, host: u8, run: u64) -> LeaseClaim {
    let request = announcement("barge", host, run);
    LeaseClaim {
        target: request.target,
        incarnation: request.incarnation,
        service: ServiceNumber::new(service),
    }
}

pub(super) fn renew(table: &mut LeaseTable, claim: LeaseClaim, now: u64) -> bool {
    table.renew(claim.target, claim.incarnation, ClockMillis::new(now))
}

pub(super) fn expired(table: &mut LeaseTable, now: u64) -> Vec<LeaseClaim> {
    let verdict = table.decide(ClockMillis::new(now));
    let runs = verdict.expired.into_iter();
    runs.map(|(target, incarnation)| LeaseClaim {
        target,
        incarnation,
        service: ServiceNumber::new(1),
    })
    .collect()
}

/// Three targets of service 1, granted at 0.
pub(super) fn three_targets() -> (LeaseTable, [LeaseClaim; 3]) {
    let claims = [1, 2, 3].map(|host| claim(1, host, 1));
    (LeaseTable::with_claims(claims, ClockMillis::ORIGIN), claims)
}

#[test]
fn a_single_silent_target_expires_after_its_lease() {
    let (mut table, claims) = three_targets();
    for now in [5_000, 10_000, 14_999] {
        renew(&mut table, claims[0], now);
        renew(&mut table, claims[1], now);
        assert!(expired(&mut table, now).is_empty());
    }
    assert_eq!(expired(&mut table, 15_000), [claims[2]]);
}

#[test]
fn a_heartbeat_that_comes_late_but_before_the_decision_counts() {
    let (mut table, claims) = three_targets();
    renew(&mut table, claims[0], 14_000);
    renew(&mut table, claims[1], 14_000);
    assert!(renew(&mut table, claims[2], 15_500));
    assert!(expired(&mut table, 15_600).is_empty());
}

#[test]
fn an_expiry_that_is_not_committed_is_asked_for_again() {
    let (mut table, claims) = three_targets();
    for now in [15_000, 17_000] {
        renew(&mut table, claims[0], now - 1);
        renew(&mut table, claims[1], now - 1);
        assert_eq!(expired(&mut table, now), [claims[2]]);
    }
    table.remove_target(claims[2].target);
    assert!(expired(&mut table, 19_000).is_empty());
}

#[test]
fn a_reused_address_has_the_lease_of_its_new_run_only() {
    let (mut table, claims) = three_targets();
    let next = claim(2, 3, 9);
    table.grant(next, ClockMillis::new(10_000));
    assert!(!renew(&mut table, claims[2], 11_000));
    assert!(renew(&mut table, next, 11_000));
    assert_eq!(table.len(), 3);
    renew(&mut table, claims[0], 14_000);
    renew(&mut table, claims[1], 14_000);
    assert!(expired(&mut table, 16_000).is_empty());
}

#[test]
fn a_new_leader_grants_a_full_lease_before_it_expires_anyone() {
    let claims = [1, 2, 3].map(|host| claim(1, host, 1));
    let taken = 1_000_000;
    let mut table = LeaseTable::with_claims(claims, ClockMillis::new(taken));
    assert!(expired(&mut table, taken + LEASE_MILLIS.millis() - 1).is_empty());
    assert_eq!(table.len(), 3);
}

#[test]
fn a_run_that_expired_and_came_back_is_decided_once() {
    let (mut table, claims) = three_targets();
    for round in 1..=5 {
        let now = round * 15_000;
        renew(&mut table, claims[0], now - 1);
        renew(&mut table, claims[1], now - 1);
        assert_eq!(expired(&mut table, now), [claims[2]]);
        table.remove_target(claims[2].target);
        table.grant(claims[2], ClockMillis::new(now));
    }
}

proptest! {
    #![proptest_config(fixed_cases(256, 51))]

    #[test]
    fn no_run_expires_within_a_lease_of_its_heartbeat(
        heartbeats in prop::collection::vec((1_u8..7, 0_u64..4_000), 1..200),
    ) {
        let claims: Vec<LeaseClaim> = (1..7).map(|host| claim(1, host, 1)).collect();
        let mut table = LeaseTable::with_claims(claims.clone(), ClockMillis::ORIGIN);
        let mut heard: BTreeMap<LeaseClaim, ClockMillis> = BTreeMap::new();
        let mut now = ClockMillis::ORIGIN;
        for (host, step) in heartbeats {
            now = now.after(SpanMillis::new(step));
            let claim = claims[usize::from(host - 1)];
            if table.renew(claim.target, claim.incarnation, now) {
                heard.insert(claim, now);
            }
            for gone in expired(&mut table, now.millis()) {
                let last = heard.get(&gone).copied().unwrap_or(ClockMillis::ORIGIN);
                prop_assert!(now.since(last) >= LEASE_MILLIS);
                table.remove_target(gone.target);
            }
        }
    }
}
