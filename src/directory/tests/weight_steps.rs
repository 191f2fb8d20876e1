//! Changes of weights move few flows.

use std::net::SocketAddrV4;

use proptest::prelude::*;

use super::weighted_service::WeightedService;
use crate::flow::FlowKey;

fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new([100, 64, 0, 7].into(), port),
        listener: SocketAddrV4::new([198, 18, 0, 1].into(), 443),
    }
}

proptest! {
    /// Figures that drift would otherwise move flows with each announcement.
    #[test]
    fn weights_change_by_more_than_a_tenth(
        rounds in prop::collection::vec(prop::collection::vec(0.3_f64..2.5, 12), 2..12),
    ) {
        let mut service = WeightedService::new(12);
        service.announce();
        let mut before = service.weights();
        for ratios in rounds {
            service.set_ratios(&ratios);
            service.announce();
            let after = service.weights();
            for (old, new) in before.iter().zip(&after) {
                let step = (new - old).abs() / old;
                prop_assert!(step == 0.0 || step > 0.1, "{} to {}", old, new);
            }
            before = after;
        }
    }

    /// A flow whose target keeps its weight stays there, unless the target whose
    /// weight rose takes it.
    #[test]
    fn a_change_of_one_weight_moves_only_flows_of_that_target(
        number in 0_usize..20,
        ratio in prop::sample::select(vec![0.4, 0.6, 1.5, 2.0]),
    ) {
        let mut ratios = vec![1.0; 20];
        let mut service = WeightedService::with_ratios(&ratios);
        service.announce();
        let before = service.rankings().accepting;
        ratios[number] = ratio;
        service.set_ratios(&ratios);
        service.announce();
        let after = service.rankings().accepting;
        let changed = service.records[number].agent;
        let mut moved = 0;
        for port in 0..4_000 {
            let (old, new) = (before.rank(flow(port), 1)[0], after.rank(flow(port), 1)[0]);
            if old != new {
                moved += 1;
                let leaves = ratio < 1.0;
                prop_assert_eq!(if leaves { old } else { new }, changed);
            }
        }
        // Its share changes from 1 in 20 to `ratio` in `19 + ratio`.
        let expected = 4_000.0 * (ratio / (19.0 + ratio) - 0.05_f64).abs();
        prop_assert!((f64::from(moved) - expected).abs() < 60.0, "{} for {}", moved, expected);
    }
}

/// A speed at the edge of the dead band would otherwise move a fifth of the target's
/// flows with each announcement.
#[test]
fn a_speed_at_the_edge_of_the_dead_band_changes_its_weight_once() {
    let mut ratios = vec![0.6, 0.6, 1.0, 1.0, 1.0, 1.6, 1.6, 1.0];
    let mut service = WeightedService::with_ratios(&ratios);
    service.announce();
    let mut changes = 0;
    let mut before = service.weights()[7];
    for round in 0..40 {
        ratios[7] = if round % 2 == 0 { 1.27 } else { 1.22 };
        service.set_ratios(&ratios);
        service.announce();
        let after = service.weights()[7];
        changes += u32::from((after - before).abs() > f64::EPSILON);
        before = after;
    }
    assert_eq!(changes, 1);
}
