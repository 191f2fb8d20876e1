use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::TargetEntry;
use crate::key::TargetKey;

/// Largest group that is not split; each of its targets is scored.
const MAX_UNSPLIT_TARGETS: usize = 64;
/// Number of subgroups that a larger group is split into at each level.
const FAN_OUT: usize = 16;
/// Bits of a target's hash that select its subgroup at one level.
const FAN_OUT_BITS: u32 = 4;
/// Level at which groups are no longer split.
const MAX_LEVEL: u32 = 8;
/// Seed that derives the hash of the next level.
const LEVEL_SEED: u64 = 1;

/// A set of targets with selection by weighted rendezvous hashing.
///
/// A large group is a tree, so the cost of a selection grows with the
/// logarithm of its size. A change moves few flows besides those of the changed
/// targets.
#[derive(Debug, Clone)]
pub(super) struct TargetGroup {
    total_weight: u64,
    node: GroupNode,
}

#[derive(Debug, Clone)]
enum GroupNode {
    Leaf(Vec<TargetEntry>),
    Branch(Vec<TargetGroup>),
}

impl TargetGroup {
    /// Builds the group of `entries`.
    pub(super) fn new(entries: Vec<TargetEntry>) -> Self {
        Self::at_level(entries, 0)
    }

    fn at_level(entries: Vec<TargetEntry>, level: u32) -> Self {
        let total_weight = entries
            .iter()
            .map(|entry| u64::from(entry.effective_weight()))
            .sum();
        let node = if entries.len() <= MAX_UNSPLIT_TARGETS || level >= MAX_LEVEL {
            GroupNode::Leaf(entries)
        } else {
            GroupNode::Branch(split_targets(entries, level))
        };
        Self { total_weight, node }
    }

    /// Returns the sum of the targets' effective weights.
    pub(super) fn total_weight(&self) -> u64 {
        self.total_weight
    }

    /// Returns the target for `hash`, skipping the targets in `excluded`.
    pub(super) fn choose(&self, hash: u64, excluded: &[TargetKey]) -> Option<TargetKey> {
        match &self.node {
            GroupNode::Leaf(entries) => choose_in_leaf(entries, hash, excluded),
            GroupNode::Branch(groups) => choose_in_branch(groups, hash, excluded),
        }
    }
}

/// Returns the weighted rendezvous score of a candidate; the highest wins.
pub(super) fn rendezvous_score(hash: u64, candidate_id: u64, weight: u64) -> f64 {
    let mixed = xxh3_64_with_seed(&candidate_id.to_le_bytes(), hash);
    // 53 bits fill the mantissa; the added half keeps the logarithm finite.
    #[expect(clippy::cast_precision_loss, reason = "53 bits are exact")]
    let uniform = ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    #[expect(clippy::cast_precision_loss, reason = "a weight may be rounded")]
    let weight = weight as f64;
    -weight / uniform.ln()
}

/// Returns the number that identifies a target in rendezvous scores.
pub(super) fn target_id(key: TargetKey) -> u64 {
    let address = key.address();
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}

fn split_targets(entries: Vec<TargetEntry>, level: u32) -> Vec<TargetGroup> {
    let mut subgroups: Vec<Vec<TargetEntry>> = vec![Vec::new(); FAN_OUT];
    for entry in entries {
        let hash = xxh3_64_with_seed(&target_id(entry.key).to_le_bytes(), 0);
        let index = (hash >> (level * FAN_OUT_BITS)) & (FAN_OUT as u64 - 1);
        subgroups[usize::try_from(index).unwrap_or(0)].push(entry);
    }
    subgroups
        .into_iter()
        .map(|entries| TargetGroup::at_level(entries, level + 1))
        .collect()
}

fn choose_in_leaf(entries: &[TargetEntry], hash: u64, excluded: &[TargetKey]) -> Option<TargetKey> {
    entries
        .iter()
        .filter(|entry| entry.effective_weight() > 0 && !excluded.contains(&entry.key))
        .map(|entry| {
            let candidate_id = target_id(entry.key);
            let score = rendezvous_score(hash, candidate_id, u64::from(entry.effective_weight()));
            (score, entry.key)
        })
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, key)| key)
}

fn choose_in_branch(
    groups: &[TargetGroup],
    hash: u64,
    excluded: &[TargetKey],
) -> Option<TargetKey> {
    let mut scores: Vec<(f64, &TargetGroup)> = groups
        .iter()
        .zip(0u64..)
        .filter(|(group, _)| group.total_weight() > 0)
        .map(|(group, index)| (rendezvous_score(hash, index, group.total_weight()), group))
        .collect();
    scores.sort_by(|left, right| right.0.total_cmp(&left.0));
    // Subgroups have the same numbers at every level, so each level needs another hash.
    let next_hash = xxh3_64_with_seed(&hash.to_le_bytes(), LEVEL_SEED);
    scores
        .iter()
        .find_map(|(_, group)| group.choose(next_hash, excluded))
}
