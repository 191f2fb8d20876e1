//! Tests of applying snapshots and deltas to the route table.

use proptest::prelude::*;

use super::sample_routes::{sample_service, sample_snapshot, sample_target};
use crate::{
    key::{FeedRevision, ServiceNumber},
    route::{RouteChange, RouteDelta, RouteError, RouteSnapshot, RouteTable, TargetRoute},
};

fn delta(base_revision: u64, revision: u64, changes: Vec<RouteChange>) -> RouteDelta {
    RouteDelta {
        base_revision: FeedRevision::new(base_revision),
        revision: FeedRevision::new(revision),
        changes,
        manifest_version: 1,
    }
}

fn all_targets(table: &RouteTable) -> Vec<TargetLine> {
    let mut lines: Vec<TargetLine> = [1, 2]
        .into_iter()
        .flat_map(|number| {
            table
                .targets(ServiceNumber::new(number))
                .map(move |(domain, entry)| (number, domain.failure_domain.clone(), *entry))
        })
        .map(|(number, domain, entry)| format!("{number} {domain} {entry:?}"))
        .collect();
    lines.sort();
    lines
}

/// Service number, failure domain and entry of a target as text.
type TargetLine = String;

#[test]
fn an_outdated_update_is_refused() {
    let mut table = RouteTable::new();
    table
        .apply_snapshot(sample_snapshot(Vec::new()))
        .expect("initial snapshot");
    let outdated_delta = delta(
        3,
        9,
        vec![RouteChange::ServiceRemoved(ServiceNumber::new(1))],
    );
    assert!(matches!(
        table.apply_delta(&outdated_delta),
        Err(RouteError::Outdated { .. })
    ));
    let outdated_snapshot = RouteSnapshot {
        revision: FeedRevision::new(9),
        ..sample_snapshot(Vec::new())
    };
    assert!(matches!(
        table.apply_snapshot(outdated_snapshot),
        Err(RouteError::Outdated { .. })
    ));
    assert!(table.pool(ServiceNumber::new(1)).is_some());
}

#[test]
fn an_update_with_a_gap_is_refused() {
    let mut table = RouteTable::new();
    table
        .apply_snapshot(sample_snapshot(Vec::new()))
        .expect("initial snapshot");
    let error = table.apply_delta(&delta(11, 12, Vec::new()));
    assert!(matches!(error, Err(RouteError::Gap { .. })));
}

#[test]
fn two_services_may_swap_their_addresses_in_one_update() {
    let mut table = RouteTable::new();
    table
        .apply_snapshot(sample_snapshot(Vec::new()))
        .expect("initial snapshot");
    let (mut one, mut two) = (sample_service(1), sample_service(2));
    std::mem::swap(&mut one.spec.address, &mut two.spec.address);
    let changes = vec![
        RouteChange::ServiceSet(one.clone()),
        RouteChange::ServiceSet(two.clone()),
    ];
    table
        .apply_delta(&delta(10, 11, changes))
        .expect("the next delta");
    assert_eq!(table.service_at(one.spec.address), Some(one.number));
    assert_eq!(table.service_at(two.spec.address), Some(two.number));
}

fn any_change() -> impl Strategy<Value = (bool, u16, u32, usize)> {
    (any::<bool>(), 1u16..=2, 0u32..12, 0usize..3)
}

proptest! {
    #[test]
    fn deltas_and_a_snapshot_build_the_same_table(steps in prop::collection::vec(any_change(), 0..60)) {
        let mut table = RouteTable::new();
        table.apply_snapshot(sample_snapshot(Vec::new())).expect("initial snapshot");
        let mut expected: Vec<TargetRoute> = Vec::new();
        for (revision, (set, service, index, domain)) in (10..).zip(steps) {
            let target = sample_target(service, index, ["a", "b", "c"][domain]);
            expected.retain(|other| other.key != target.key);
            let change = if set {
                expected.push(target.clone());
                RouteChange::TargetSet(target)
            } else {
                RouteChange::TargetRemoved(target.key)
            };
            table.apply_delta(&delta(revision, revision + 1, vec![change])).expect("consecutive deltas");
        }
        let mut rebuilt = RouteTable::new();
        rebuilt.apply_snapshot(sample_snapshot(expected)).expect("initial snapshot");
        prop_assert_eq!(all_targets(&table), all_targets(&rebuilt));
        for draw in 0u64..40 {
            for number in [1, 2].map(ServiceNumber::new) {
                let chains = [&table, &rebuilt].map(|table| {
                    table.pool(number).map(|pool| pool.choose(&draw.to_be_bytes()))
                });
                prop_assert_eq!(chains[0], chains[1]);
            }
        }
    }
}
