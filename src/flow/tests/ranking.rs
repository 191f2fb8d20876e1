use proptest::prelude::*;

use super::{agent, flow};
use crate::flow::{RankedTarget, TargetRanking};

fn ranking(agents: impl IntoIterator<Item = u8>) -> TargetRanking {
    let targets = agents.into_iter().map(|number| RankedTarget {
        agent: agent(number),
        weight: 1.0,
    });
    TargetRanking::new(targets.collect())
}

proptest! {
    /// The owner of an open flow stays reachable: each target that joins moves it
    /// down by one place at most, and a target that leaves can only move it up.
    #[test]
    fn an_owner_stays_near_the_top_when_targets_join_and_leave(port: u16, joined in 1_u8..4, left in 0_u8..7) {
        let before = ranking(0..7);
        let owner = before.rank(flow(port), 1)[0];
        let after = ranking((0..7 + joined).filter(|number| *number != left || agent(left) == owner));
        let position = after.rank(flow(port), 8).iter().position(|agent| *agent == owner);
        prop_assert!(position.is_some_and(|position| position <= usize::from(joined)));
    }

    #[test]
    fn a_limited_ranking_is_a_prefix_of_the_full_one(port: u16, limit in 1_usize..12) {
        let ranking = ranking(0..12);
        let full = ranking.rank(flow(port), 12);
        prop_assert_eq!(ranking.rank(flow(port), limit), full[..limit].to_vec());
    }
}

#[test]
fn flows_spread_by_weight() {
    let mut targets: Vec<RankedTarget> = (0..4)
        .map(|number| RankedTarget {
            agent: agent(number),
            weight: 1.0,
        })
        .collect();
    targets[0].weight = 0.5;
    let ranking = TargetRanking::new(targets);
    let flows = 20_000_u16;
    let light = (0..flows)
        .filter(|port| ranking.rank(flow(*port), 1)[0] == agent(0))
        .count();
    // A share of 0.5 in 3.5, with a tolerance of a tenth.
    let expected = usize::from(flows) / 7;
    assert!(
        light.abs_diff(expected) < expected / 10,
        "{light} of {flows}"
    );
}
