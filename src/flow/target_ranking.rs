use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::FlowKey;

/// A target that may be ranked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RankedTarget {
    /// The agent beside the target.
    pub(crate) agent: Ipv4Addr,
    /// Its share relative to the others; above zero.
    pub(crate) weight: f64,
}

/// The targets of one service, ranked for each flow by weighted rendezvous
/// hashing: a target that comes or goes moves only its own flows.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct TargetRanking {
    targets: Vec<RankedTarget>,
}

impl TargetRanking {
    /// Creates the ranking of `targets`.
    pub(crate) fn new(targets: Vec<RankedTarget>) -> Self {
        Self { targets }
    }

    /// Returns the agents for a flow, the first choice first, at most `most`.
    pub(crate) fn rank(&self, flow: FlowKey, most: usize) -> Vec<Ipv4Addr> {
        let seed = flow.spread();
        let mut scored: Vec<(f64, Ipv4Addr)> = self
            .targets
            .iter()
            .map(|target| (score(seed, target), target.agent))
            .collect();
        let by_score = |left: &(f64, Ipv4Addr), right: &(f64, Ipv4Addr)| right.0.total_cmp(&left.0);
        if scored.len() > most && most > 0 {
            scored.select_nth_unstable_by(most - 1, by_score);
        }
        scored.truncate(most);
        scored.sort_unstable_by(by_score);
        scored.into_iter().map(|(_, agent)| agent).collect()
    }

    /// Returns the number of targets.
    pub(crate) fn len(&self) -> usize {
        self.targets.len()
    }
}

/// Returns the flow's score of a target: minus weight over the logarithm of a
/// uniform number, as in weighted rendezvous hashing.
fn score(seed: u64, target: &RankedTarget) -> f64 {
    let hash = xxh3_64_with_seed(&target.agent.octets(), seed);
    // The upper 53 bits fill a float's mantissa.
    #[allow(clippy::cast_precision_loss, reason = "53 bits fit")]
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -target.weight / uniform.ln()
}
