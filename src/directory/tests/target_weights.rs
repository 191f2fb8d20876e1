//! Weights of targets of uneven speed, and of targets whose requests fail.

use proptest::prelude::*;
use rstest::rstest;

use super::weighted_service::{WeightedService, number_of, speed};
use crate::{
    directory::{TargetAttributes, TargetStatus},
    flow::FlowKey,
};

/// The share of the service's capacity that the load of these tests needs.
const LOAD: f64 = 0.85;

/// Returns speeds of 46 targets as on the flags deployment.
fn uneven_ratios() -> Vec<f64> {
    (0..46).map(|number| [0.6, 1.0, 1.6][number % 3]).collect()
}

/// Returns the use of each target when flows at `LOAD` of the capacity arrive by
/// `weights`.
fn target_use(weights: &[f64], ratios: &[f64]) -> Vec<f64> {
    let load = LOAD * ratios.iter().sum::<f64>() / weights.iter().sum::<f64>();
    let pairs = weights.iter().zip(ratios);
    pairs.map(|(weight, ratio)| load * weight / ratio).collect()
}

fn flow(number: u32) -> FlowKey {
    let [_, high, middle, low] = number.to_be_bytes();
    let caller = format!("100.64.{high}.{middle}:{}", 20_000 + u16::from(low));
    FlowKey {
        caller: caller.parse().unwrap(),
        listener: "198.18.0.1:443".parse().unwrap(),
    }
}

/// Uneven targets at 85% of the capacity: equal shares would need 1.5 times what a
/// slow target can do, while fast ones idle.
#[test]
fn uneven_targets_are_loaded_evenly_by_their_speed() {
    let ratios = uneven_ratios();
    let equal = target_use(&[1.0; 46], &ratios);
    assert!(
        equal[0] > 1.4,
        "an equal share is no overload: {}",
        equal[0]
    );
    let mut service = WeightedService::with_ratios(&ratios);
    // Figures that vary by 3% from one announcement to the next.
    for round in 0..40_usize {
        let measured: Vec<f64> = (0..46_usize)
            .map(|number| ratios[number] * [0.97, 1.0, 1.03][(number * 5 + round * 7) / 3 % 3])
            .collect();
        service.set_ratios(&measured);
        service.announce();
        for share in target_use(&service.weights(), &ratios) {
            assert!((share / LOAD - 1.0).abs() < 0.1, "{share} in round {round}");
        }
    }
}

/// A target that fails every request within a millisecond looks twenty times as fast as
/// the others; by its speed it would draw twice its share.
#[test]
fn a_target_that_answers_implausibly_fast_gets_no_more_than_its_share() {
    let mut ratios = vec![1.0; 46];
    ratios[7] = 20.0;
    let mut service = WeightedService::with_ratios(&ratios);
    service.announce();
    let weights = service.weights();
    assert!(weights.iter().all(|weight| (weight - 1.0).abs() < 0.01));
}

/// The rankings give each class of speed the share of flows that the weights name.
#[test]
fn flows_of_an_uneven_service_spread_by_speed() {
    let ratios = uneven_ratios();
    let mut service = WeightedService::with_ratios(&ratios);
    service.announce();
    let ranking = service.rankings().accepting;
    let mut flows_by_class = [0.0; 3];
    for number in 0..30_000 {
        let first = ranking.rank(flow(number), 1)[0];
        flows_by_class[number_of(first) % 3] += 1.0;
    }
    let total = ratios.iter().sum::<f64>();
    for (class, flows) in flows_by_class.iter().enumerate() {
        let capacity: f64 = ratios.iter().skip(class).step_by(3).sum();
        let even = 30_000.0 * capacity / total;
        assert!(
            (flows / even - 1.0).abs() < 0.1,
            "{flows} flows, {even} are even"
        );
    }
}

/// A target that turned slow would fill its queue with an equal share, and one that
/// has recovered would idle with the small one.
#[test]
fn a_target_that_turns_slow_gets_less_until_it_recovers() {
    let mut ratios = vec![1.0; 10];
    let mut service = WeightedService::with_ratios(&ratios);
    service.announce();
    assert_eq!(service.weights(), [1.0; 10]);
    for (ratio, weight) in [(0.5, 0.5), (0.25, 0.4), (0.7, 0.7), (1.0, 1.0)] {
        ratios[3] = ratio;
        service.set_ratios(&ratios);
        service.announce();
        for (number, in_force) in service.weights().into_iter().enumerate() {
            let expected = if number == 3 { weight } else { 1.0 };
            assert!((in_force - expected).abs() < 0.01, "{in_force} of {number}");
        }
    }
    assert_eq!(service.weights(), [1.0; 10]);
}

/// One target in ten fails: its requests are lost while the others have room.
#[test]
fn a_failing_target_is_set_aside_until_its_figures_are_good() {
    let mut service = WeightedService::new(20);
    let mut failures = [0_u16; 20];
    service.announce();
    failures[4] = 400;
    failures[11] = 250;
    service.set_failures(&failures);
    let changes = service.announce();
    assert_eq!(changes.len(), 2);
    assert!(changes.iter().all(|change| change.set_aside));
    assert_eq!(service.set_aside(), [4, 11]);
    for (number, weight) in service.weights().into_iter().enumerate() {
        let expected = if matches!(number, 4 | 11) { 0.05 } else { 1.0 };
        assert!(
            (weight - expected).abs() < f64::EPSILON,
            "{weight} of {number}"
        );
    }
    // Figures at the limit don't move it back and forth.
    for at_limit in [240, 260, 200, 130] {
        failures[4] = at_limit;
        service.set_failures(&failures);
        assert!(service.announce().is_empty());
    }
    failures[4] = 0;
    service.set_failures(&failures);
    let changes = service.announce();
    assert_eq!(changes.len(), 1);
    assert!(!changes[0].set_aside);
    assert_eq!(service.set_aside(), [11]);
}

/// Half of the targets fail: were all set aside, the other half would be overloaded.
#[test]
fn of_many_failing_targets_only_the_worst_fifth_is_set_aside() {
    let mut service = WeightedService::new(20);
    let failures: Vec<u16> = (0..20)
        .map(|number| {
            if number % 2 == 0 {
                300 + number * 30
            } else {
                0
            }
        })
        .collect();
    service.set_failures(&failures);
    service.announce();
    assert_eq!(service.set_aside(), [12, 14, 16, 18]);
    let served: Vec<f64> = service
        .weights()
        .into_iter()
        .filter(|weight| *weight > 0.05)
        .collect();
    assert_eq!(served, [1.0; 16]);
    // Figures that vary do not replace one target by another each time.
    for round in 0..10_usize {
        let varied: Vec<u16> = failures
            .iter()
            .enumerate()
            .map(|(number, failures)| failures + [0, 40][(number + round) % 4 / 2])
            .collect();
        service.set_failures(&varied);
        assert!(service.announce().is_empty(), "round {round}");
    }
}

/// All targets fail, for example because of something that they all use: the service
/// keeps at least four fifths of them.
#[test]
fn when_all_targets_fail_most_are_served_as_usual() {
    let mut service = WeightedService::new(46);
    service.set_failures(&[1_000; 46]);
    service.announce();
    assert_eq!(service.set_aside().len(), 9);
    let usual = service.weights().into_iter().filter(|weight| *weight > 0.9);
    assert_eq!(usual.count(), 37);
    service.announce();
    service.set_failures(&[0; 46]);
    assert_eq!(service.announce().len(), 9);
    assert_eq!(service.weights(), [1.0; 46]);
}

/// Nothing else can serve the flows of a service's only target.
#[test]
fn a_single_target_is_served_whatever_its_figures() {
    let mut service = WeightedService::with_ratios(&[0.1]);
    service.set_failures(&[1_000]);
    service.announce();
    assert_eq!(service.weights(), [1.0]);
}

/// Of two targets neither may be set aside, since the other could not serve all, but
/// their speeds count.
#[test]
fn two_targets_share_by_speed_and_are_never_set_aside() {
    let ratios = [0.6, 1.6];
    let mut service = WeightedService::with_ratios(&ratios);
    service.set_failures(&[0, 1_000]);
    service.announce();
    assert!(service.set_aside().is_empty());
    for share in target_use(&service.weights(), &ratios) {
        assert!((share / LOAD - 1.0).abs() < 0.1, "{share}");
    }
}

/// A target that hardly answers must not count as one without figures: too few targets
/// are there to set it aside, so that only its speed can take flows from it.
#[test]
fn the_lowest_speed_draws_fewer_flows_than_none() {
    let mut service = WeightedService::with_ratios(&[1.0, 1.0, 1.0]);
    service.set_failures(&[0, 0, 990]);
    service.records[2].attributes.speed = 0;
    service.announce();
    assert_eq!(service.weights()[2].to_bits(), 1.0_f64.to_bits());
    service.records[2].attributes.speed = 1;
    service.announce();
    assert!(service.set_aside().is_empty());
    let weight = service.weights()[2];
    assert!(weight < 0.7, "{weight}");
}

/// Agents of an earlier build announce no figures, and agents that have restarted
/// none for a while: a few measured targets say nothing of the others.
#[rstest]
#[case::none_measured(0)]
#[case::fewer_than_half_measured(9)]
fn targets_without_figures_have_the_weight_of_their_status(#[case] measured: u32) {
    let mut service = WeightedService::new(20);
    for (number, record) in (0..).zip(&mut service.records) {
        record.attributes.speed = if number < measured {
            speed(0.5) + 100 * number
        } else {
            0
        };
        if number % 4 == 0 {
            record.status = TargetStatus::Warming;
        }
    }
    service.announce();
    for (number, weight) in service.weights().into_iter().enumerate() {
        let expected = if number % 4 == 0 { 0.5 } else { 1.0 };
        assert!(
            (weight - expected).abs() < f64::EPSILON,
            "{weight} of {number}"
        );
    }
}

/// A restarted agent has measured nothing yet, so its target gets the usual share.
#[test]
fn a_restarted_agent_returns_its_target_to_the_usual_weight() {
    let mut service = WeightedService::with_ratios(&uneven_ratios());
    service.announce();
    assert!(service.weights()[0] < 0.7);
    service.records[0].agent_run = 2;
    service.records[0].attributes = TargetAttributes::default();
    service.announce();
    assert_eq!(service.weights()[0].to_bits(), 1.0_f64.to_bits());
}

/// A warming target is not flooded before its speed is known, and not left idle
/// afterwards.
#[test]
fn a_warming_target_is_weighted_by_its_speed_once_measured() {
    let mut ratios = uneven_ratios();
    let mut service = WeightedService::with_ratios(&ratios);
    service.records[1].status = TargetStatus::Warming;
    service.records[1].attributes.speed = 0;
    service.announce();
    assert_eq!(service.weights()[1].to_bits(), 0.5_f64.to_bits());
    for (ratio, weight) in [(0.62, 0.62), (1.0, 1.0)] {
        ratios[1] = ratio;
        service.set_ratios(&ratios);
        service.announce();
        assert!((service.weights()[1] - weight).abs() < 0.01);
    }
}

proptest! {
    /// Deployments of even targets are served as before there were figures.
    #[test]
    fn speeds_within_the_dead_band_leave_the_weights_of_the_status(
        ratios in prop::collection::vec(0.9_f64..1.11, 1..60),
        warming: u64,
    ) {
        let mut service = WeightedService::with_ratios(&ratios);
        for (number, record) in service.records.iter_mut().enumerate() {
            if warming >> number & 1 == 1 {
                record.status = TargetStatus::Warming;
            }
        }
        service.announce();
        for (number, weight) in service.weights().into_iter().enumerate() {
            let expected = if warming >> number & 1 == 1 { 0.5_f64 } else { 1.0 };
            prop_assert_eq!(weight.to_bits(), expected.to_bits());
        }
    }

    /// Whatever the figures are, the bounds of weights and of the share hold.
    #[test]
    fn weights_and_the_share_set_aside_are_bounded(
        rounds in prop::collection::vec(
            prop::collection::vec((0_u32..5_000, 0_u16..=1_000), 1..60), 1..6),
    ) {
        let mut service = WeightedService::new(60);
        for figures in rounds {
            for (record, (speed, failures)) in service.records.iter_mut().zip(figures) {
                record.attributes.speed = speed;
                record.attributes.failures = failures;
            }
            service.announce();
            prop_assert!(service.set_aside().len() <= 12);
            for info in service.view.weight_infos() {
                if info.set_aside {
                    prop_assert!(info.failures >= 125);
                } else {
                    prop_assert!((0.4..=2.0).contains(&info.weight));
                }
            }
        }
    }
}
