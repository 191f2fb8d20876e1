use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::flow::FlowKey;

/// A target that may be ranked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RankedTarget {
    /// The agent next to the target.
    pub(crate) agent: Ipv4Addr,
    /// Its share relative to the others; above zero.
    pub(crate) weight: f64,
}

/// Ranks the targets of one service for each flow by weighted rendezvous hashing:
/// adding or removing a target moves only the flows of that target.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct TargetRanking {
    targets: Vec<RankedTarget>,
}

impl TargetRanking {
    /// Creates the ranking of `targets`.
    pub(crate) fn new(targets: Vec<RankedTarget>) -> Self {
        Self { targets }
    }

    /// Returns up to `limit` agents for a flow, best first.
    pub(crate) fn rank(&self, flow: FlowKey, limit: usize) -> Vec<Ipv4Addr> {
        let seed = flow.stable_hash();
        let mut scored: Vec<(f64, Ipv4Addr)> = self
            .targets
            .iter()
            .map(|target| (score(seed, target), target.agent))
            .collect();
        let by_score = |left: &(f64, Ipv4Addr), right: &(f64, Ipv4Addr)| right.0.total_cmp(&left.0);
        if scored.len() > limit && limit > 0 {
            scored.select_nth_unstable_by(limit - 1, by_score);
        }
        scored.truncate(limit);
        scored.sort_unstable_by(by_score);
        scored.into_iter().map(|(_, agent)| agent).collect()
    }

    /// Returns the number of targets.
    pub(crate) fn len(&self) -> usize {
        self.targets.len()
    }
}

/// Returns the score of a target for a flow: `-weight / ln(uniform)`, as in
/// weighted rendezvous hashing.
fn score(seed: u64, target: &RankedTarget) -> f64 {
    let hash = xxh3_64_with_seed(&target.agent.octets(), seed);
    // The upper 53 bits fit the mantissa of an `f64`.
    #[allow(clippy::cast_precision_loss, reason = "53 bits fit")]
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -target.weight / uniform.ln()
}
