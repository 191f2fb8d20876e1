//! Lookups find the owners of flows although weights move.

use std::net::SocketAddrV4;

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use rstest::rstest;

use super::weighted_service::WeightedService;
use crate::flow::FlowKey;

const TARGETS: usize = 46;
const FLOWS: u32 = 10_000;
/// Number of agents that the first round of a lookup asks.
const FIRST_ROUND_AGENTS: usize = 9;
/// Number of candidates of an opening.
const CANDIDATES: usize = 6;

/// What happened to the weights between the opening of a flow and its lookup.
#[derive(Debug, Clone, Copy)]
enum WeightMove {
    Nothing,
    /// The targets exchanged their speeds at random.
    Exchanged,
    /// The fastest targets became the slowest.
    Reversed,
    /// A fifth of the targets, the fastest ones, was set aside.
    FastestSetAside,
}

fn random_flow(random: &mut SmallRng) -> FlowKey {
    let caller = [100, 64, random.random(), random.random()];
    FlowKey {
        caller: SocketAddrV4::new(caller.into(), random.random()),
        listener: SocketAddrV4::new([198, 18, 0, 1].into(), 443),
    }
}

/// Returns speeds whose weights lie between 0.4 and 2.0, with a median of one.
fn random_ratios(random: &mut SmallRng) -> Vec<f64> {
    let mut ratios: Vec<f64> = (0..TARGETS)
        .map(|number| match number % 2 {
            0 => random.random_range(0.4..1.0),
            _ => random.random_range(1.0..2.0),
        })
        .collect();
    ratios.shuffle(random);
    ratios
}

fn move_weights(
    service: &mut WeightedService,
    ratios: &mut [f64],
    change: WeightMove,
    random: &mut SmallRng,
) {
    match change {
        WeightMove::Nothing => {}
        WeightMove::Exchanged => ratios.shuffle(random),
        WeightMove::Reversed => ratios.iter_mut().for_each(|ratio| *ratio = 0.8 / *ratio),
        WeightMove::FastestSetAside => {
            let mut sorted = ratios.to_vec();
            sorted.sort_by(f64::total_cmp);
            let limit = sorted[TARGETS - TARGETS / 5];
            let failures = ratios
                .iter()
                .map(|ratio| if *ratio >= limit { 1_000 } else { 0 });
            service.set_failures(&failures.collect::<Vec<u16>>());
        }
    }
    service.set_ratios(ratios);
    service.announce();
}

/// After a change of balancers, flows of uneven targets are looked up. A lookup whose
/// first round misses the owner asks all agents of the service. `passed_on` is the
/// share of candidates that are full and pass an opening on.
#[rstest]
fn the_first_round_of_a_lookup_finds_the_owner(
    #[values(
        WeightMove::Nothing,
        WeightMove::Exchanged,
        WeightMove::Reversed,
        WeightMove::FastestSetAside
    )]
    change: WeightMove,
    #[values(0.0, 0.2, 0.5)] passed_on: f64,
) {
    let mut random = SmallRng::seed_from_u64(46);
    let mut ratios = random_ratios(&mut random);
    let mut service = WeightedService::with_ratios(&ratios);
    service.announce();
    let weights = service.weights();
    let lowest = weights.iter().copied().fold(f64::MAX, f64::min);
    let highest = weights.iter().copied().fold(0.0, f64::max);
    assert!(lowest < 0.5 && highest > 1.8, "{lowest} to {highest}");
    let opened = service.rankings().accepting;
    move_weights(&mut service, &mut ratios, change, &mut random);
    let moved = service.weights() != weights;
    assert_eq!(moved, !matches!(change, WeightMove::Nothing));
    let looked_up = service.rankings().possible_owners;
    let mut found = 0;
    for _ in 0..FLOWS {
        let flow = random_flow(&mut random);
        let candidates = opened.rank(flow, CANDIDATES);
        let mut place = 0;
        while place + 1 < CANDIDATES && random.random_bool(passed_on) {
            place += 1;
        }
        let asked = looked_up.rank(flow, FIRST_ROUND_AGENTS);
        found += u32::from(asked.contains(&candidates[place]));
    }
    let share = f64::from(found) / f64::from(FLOWS);
    println!("{change:?}, {passed_on} passed on: {share}");
    assert!(share >= 0.97, "{share} with {change:?}");
}
