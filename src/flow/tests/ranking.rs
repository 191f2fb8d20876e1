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
    /// Keeps the owner of an open flow reachable: each newcomer moves it down
    /// by one place at most, each leaver moves it up.
    #[test]
    fn an_owner_stays_near_the_top_while_targets_come_and_go(port: u16, joined in 1_u8..4, left in 0_u8..7) {
        let before = ranking(0..7);
        let owner = before.rank(flow(port), 1)[0];
        let after = ranking((0..7 + joined).filter(|number| *number != left || agent(left) == owner));
        let place = after.rank(flow(port), 8).iter().position(|agent| *agent == owner);
        prop_assert!(place.is_some_and(|place| place <= usize::from(joined)));
    }

    #[test]
    fn a_short_ranking_is_the_start_of_the_whole_one(port: u16, most in 1_usize..12) {
        let ranking = ranking(0..12);
        let whole = ranking.rank(flow(port), 12);
        prop_assert_eq!(ranking.rank(flow(port), most), whole[..most].to_vec());
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
    // A share of 0.5 in 3.5, within a tenth.
    let expected = usize::from(flows) / 7;
    assert!(
        light.abs_diff(expected) < expected / 10,
        "{light} of {flows}"
    );
}
