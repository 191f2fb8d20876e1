use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::TargetEntry;
use crate::key::TargetKey;

/// The most targets that are ranked one by one.
const FLAT_LIMIT: usize = 64;
/// The parts that a larger group is split into at each level.
const FAN_OUT: usize = 16;
/// The bits of a target's hash that choose its part at one level.
const FAN_OUT_BITS: u32 = 4;
/// The levels after which parts are no longer split.
const DEEPEST_LEVEL: u32 = 8;
/// Separates the hash of one level from that of the next.
const LEVEL_SEED: u64 = 1;

/// Targets that are chosen among by weighted rendezvous hashing.
///
/// A large group is a tree, so that the cost of a choice grows with the
/// logarithm of its size; a change moves only the flows of what changed.
#[derive(Debug, Clone)]
pub(super) struct TargetGroup {
    share: u64,
    parts: GroupParts,
}

#[derive(Debug, Clone)]
enum GroupParts {
    Flat(Vec<TargetEntry>),
    Split(Vec<TargetGroup>),
}

impl TargetGroup {
    /// Builds the group of `entries`.
    pub(super) fn new(entries: Vec<TargetEntry>) -> Self {
        Self::at_level(entries, 0)
    }

    fn at_level(entries: Vec<TargetEntry>, level: u32) -> Self {
        let share = entries.iter().map(|entry| u64::from(entry.share())).sum();
        let parts = if entries.len() <= FLAT_LIMIT || level >= DEEPEST_LEVEL {
            GroupParts::Flat(entries)
        } else {
            GroupParts::Split(split_entries(entries, level))
        };
        Self { share, parts }
    }

    /// Returns the sum of the shares of new connections.
    pub(super) fn share(&self) -> u64 {
        self.share
    }

    /// Returns the target for `hash`, passing over `taken`.
    pub(super) fn choose(&self, hash: u64, taken: &[TargetKey]) -> Option<TargetKey> {
        match &self.parts {
            GroupParts::Flat(entries) => choose_entry(entries, hash, taken),
            GroupParts::Split(groups) => choose_part(groups, hash, taken),
        }
    }
}

/// Returns the rendezvous score of a candidate; the largest wins.
pub(super) fn rendezvous_score(hash: u64, identity: u64, share: u64) -> f64 {
    let mixed = xxh3_64_with_seed(&identity.to_le_bytes(), hash);
    // 53 bits fill the mantissa; half a step keeps the logarithm finite.
    #[expect(clippy::cast_precision_loss, reason = "53 bits are exact")]
    let uniform = ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    #[expect(clippy::cast_precision_loss, reason = "a share needs no exactness")]
    let share = share as f64;
    -share / uniform.ln()
}

/// Returns the number that stands for a target in scores.
pub(super) fn target_identity(key: TargetKey) -> u64 {
    let address = key.address();
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}

fn split_entries(entries: Vec<TargetEntry>, level: u32) -> Vec<TargetGroup> {
    let mut parts: Vec<Vec<TargetEntry>> = vec![Vec::new(); FAN_OUT];
    for entry in entries {
        let hash = xxh3_64_with_seed(&target_identity(entry.key).to_le_bytes(), 0);
        let part = (hash >> (level * FAN_OUT_BITS)) & (FAN_OUT as u64 - 1);
        parts[usize::try_from(part).unwrap_or(0)].push(entry);
    }
    parts
        .into_iter()
        .map(|part| TargetGroup::at_level(part, level + 1))
        .collect()
}

fn choose_entry(entries: &[TargetEntry], hash: u64, taken: &[TargetKey]) -> Option<TargetKey> {
    entries
        .iter()
        .filter(|entry| entry.share() > 0 && !taken.contains(&entry.key))
        .map(|entry| {
            let identity = target_identity(entry.key);
            let score = rendezvous_score(hash, identity, u64::from(entry.share()));
            (score, entry.key)
        })
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, key)| key)
}

fn choose_part(groups: &[TargetGroup], hash: u64, taken: &[TargetKey]) -> Option<TargetKey> {
    let mut scores: Vec<(f64, &TargetGroup)> = groups
        .iter()
        .zip(0u64..)
        .filter(|(group, _)| group.share() > 0)
        .map(|(group, part)| (rendezvous_score(hash, part, group.share()), group))
        .collect();
    scores.sort_by(|left, right| right.0.total_cmp(&left.0));
    // The parts of every level go by the same numbers, so each level draws anew.
    let deeper = xxh3_64_with_seed(&hash.to_le_bytes(), LEVEL_SEED);
    scores
        .iter()
        .find_map(|(_, group)| group.choose(deeper, taken))
}
