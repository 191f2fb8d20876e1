//! How often a balancer computes weights and rebuilds its rankings.

use std::net::Ipv4Addr;

use super::{START, weighted_service::WeightedService};
use crate::{
    clock::SpanMillis,
    directory::{
        DirectoryPosition, DirectoryUpdate, EvacuationUpdate, TargetAttributes, TargetRecord,
        TargetStatus, TargetView,
    },
    key::IncarnationId,
    listener::ServiceTag,
};

fn service_of(targets: u32) -> Vec<TargetRecord> {
    (0..targets)
        .map(|number| TargetRecord {
            agent: Ipv4Addr::from(0x0a01_0000 + number),
            service: ServiceTag::of("tavole"),
            agent_run: 1,
            sequence: 1,
            incarnation: Some(IncarnationId::new(u64::from(number))),
            status: TargetStatus::Serving,
            attributes: TargetAttributes {
                speed: 500 + number % 900,
                ..TargetAttributes::default()
            },
        })
        .collect()
}

fn changes(records: &[TargetRecord]) -> DirectoryUpdate {
    DirectoryUpdate {
        evacuation: EvacuationUpdate::default(),
        position: DirectoryPosition::default(),
        full: false,
        settled: true,
        records: records.to_vec(),
    }
}

/// In a service of 10,000 targets each update brings new figures, every 20 ms.
#[test]
fn a_stream_of_figures_rebuilds_the_rankings_four_times_a_second() {
    let mut records = service_of(10_000);
    let mut view = TargetView::default();
    view.apply_update(changes(&records));
    view.update_weights(START);
    assert!(view.take_known_targets().is_some());
    let mut rebuilt = 0;
    for update in 1..=50_usize {
        let now = START.after(SpanMillis::new(20 * update as u64));
        let changed = &mut records[update * 200 - 200..update * 200];
        for record in &mut *changed {
            record.sequence += 1;
            record.attributes.speed = 2_000 - record.attributes.speed;
        }
        assert!(view.apply_update(changes(changed)).is_empty());
        view.update_weights(now);
        rebuilt += u32::from(view.take_known_targets().is_some());
    }
    assert!((1..=4).contains(&rebuilt), "{rebuilt}");
}

/// Figures that arrive within 250 ms of others must not be forgotten.
#[test]
fn figures_that_arrive_early_take_effect_when_due() {
    let mut service = WeightedService::with_ratios(&[1.0; 10]);
    service.announce();
    let computed_at = service.now;
    service.set_ratios(&[0.5]);
    service.now = computed_at.after(SpanMillis::new(20));
    service.announce_now();
    assert_eq!(service.weights(), [1.0; 10]);
    let due_at = service.view.weights_due_at().unwrap();
    assert_eq!(due_at, computed_at.after(SpanMillis::new(250)));
    service.view.update_weights(due_at);
    assert!(service.weights()[0] < 0.6);
    assert_eq!(service.view.weights_due_at(), None);
}

/// New flows would otherwise go to a target that has just announced that it leaves.
#[test]
fn a_target_that_stops_accepting_gets_no_flow_at_once() {
    let mut service = WeightedService::with_ratios(&[1.0; 10]);
    service.announce();
    service.view.take_known_targets();
    service.records[2].status = TargetStatus::Leaving;
    service.announce_now();
    let known = service.view.take_known_targets().unwrap();
    let targets = &known.services[&ServiceTag::of("tavole")];
    assert_eq!(targets.accepting.len(), 9);
    assert_eq!(targets.possible_owners.len(), 10);
}

/// A target that is set aside and leaves must not count against the share later.
#[test]
fn a_target_that_leaves_is_no_longer_set_aside() {
    let mut service = WeightedService::new(5);
    service.set_failures(&[1_000]);
    service.announce();
    assert_eq!(service.set_aside(), [0]);
    service.records[0].status = TargetStatus::Leaving;
    service.announce_now();
    assert!(service.set_aside().is_empty());
}
