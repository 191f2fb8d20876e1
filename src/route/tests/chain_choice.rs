//! Tests of candidate selection for first packets.

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;

use super::sample_routes::{sample_snapshot, sample_target};
use crate::{
    key::{ServiceNumber, TargetKey},
    route::{RouteTable, TargetChain, TargetPhase, TargetRoute},
};

const DOMAINS: [&str; 3] = ["fjord-a", "fjord-b", "sund"];

fn spread_targets(count: u32) -> Vec<TargetRoute> {
    (0..count)
        .map(|index| sample_target(1, index, DOMAINS[index as usize % 3]))
        .collect()
}

fn table_of(targets: Vec<TargetRoute>) -> RouteTable {
    let mut table = RouteTable::new();
    table
        .apply_snapshot(sample_snapshot(targets))
        .expect("initial snapshot");
    table
}

fn choose(table: &RouteTable, draw: u64) -> TargetChain {
    let pool = table.pool(ServiceNumber::new(1)).expect("service 1");
    pool.choose(&draw.to_be_bytes())
}

#[rstest]
#[case(7, 70_000, 0.05)]
#[case(300, 300_000, 0.20)]
fn first_candidates_are_spread_evenly(
    #[case] targets: u32,
    #[case] draws: u32,
    #[case] tolerance: f64,
) {
    let table = table_of(spread_targets(targets));
    let mut counts: BTreeMap<TargetKey, u32> = BTreeMap::new();
    for draw in 0..draws {
        let (first, _) = choose(&table, u64::from(draw))
            .split_first()
            .expect("a candidate");
        *counts.entry(first).or_default() += 1;
    }
    let mean = f64::from(draws) / f64::from(targets);
    assert_eq!(counts.len(), targets as usize);
    for count in counts.values() {
        assert!((f64::from(*count) / mean - 1.0).abs() < tolerance);
    }
}

#[test]
fn candidates_come_from_different_failure_domains() {
    let targets = spread_targets(9);
    let table = table_of(targets.clone());
    for draw in 0..1_000 {
        let domains: BTreeSet<&str> = choose(&table, draw)
            .iter()
            .filter_map(|key| targets.iter().find(|target| target.key == key))
            .map(|target| target.domain.failure_domain.as_str())
            .collect();
        assert_eq!(domains.len(), 3);
    }
}

#[test]
fn a_leaving_target_is_never_a_candidate() {
    let mut targets = spread_targets(4);
    targets[1].phase = TargetPhase::Leaving;
    let leaving = targets[1].key;
    let table = table_of(targets);
    for draw in 0..1_000 {
        assert!(choose(&table, draw).iter().all(|target| target != leaving));
    }
}

#[test]
fn removing_a_target_moves_few_other_choices() {
    let targets = spread_targets(300);
    let removed = targets[17].key;
    let before = table_of(targets.clone());
    let kept = targets.into_iter().filter(|target| target.key != removed);
    let after = table_of(kept.collect());
    let moved = (0..20_000)
        .filter(|draw| {
            let old = choose(&before, *draw).split_first().map(|(first, _)| first);
            let new = choose(&after, *draw).split_first().map(|(first, _)| first);
            old != Some(removed) && old != new
        })
        .count();
    // Removing the target also lowers the weight of its domain and its subgroups,
    // which moves a few more choices.
    assert!(moved < 200, "{moved} of 20000 choices moved");
}

#[test]
fn suspects_move_to_the_end_of_the_chain() {
    let table = table_of(spread_targets(9));
    let chain = choose(&table, 5);
    let (first, _) = chain.split_first().expect("a candidate");
    let reordered = chain.with_suspects_last(|target| target == first);
    assert_eq!(reordered.len(), chain.len());
    assert_eq!(reordered.iter().last(), Some(first));
}
