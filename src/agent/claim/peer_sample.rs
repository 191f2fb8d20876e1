use crate::{
    clock::{ClockMillis, SpanMillis},
    key::TargetKey,
};

/// Peers at which a waiting request claims a slot.
const CLAIMS_PER_REQUEST: usize = 2;
/// Peers in the random sample, from which the least loaded are chosen.
const SAMPLE_SIZE: usize = 4;
/// Load reports older than this are ignored.
const STALE_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// The assumed load of a peer without a recent report.
const DEFAULT_LOAD_PERMILLE: u32 = 1_000;

/// A peer of the same service and its last load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerView {
    /// The peer's target.
    pub(crate) target: TargetKey,
    /// Its reported requests in thousandths of its slots.
    pub(crate) request_load_permille: u32,
    /// When the report arrived.
    pub(crate) reported_at: Option<ClockMillis>,
}

/// Chooses the least loaded of a random sample of peers; `draw` seeds the sample.
///
/// Load reports only rank the sampled peers, which limits the claims that a
/// peer with too low a report attracts.
pub(crate) fn sample_peers(peers: &[PeerView], draw: u64, now: ClockMillis) -> Vec<TargetKey> {
    let mut sampled: Vec<PeerView> = sample_indices(peers.len(), draw)
        .into_iter()
        .filter_map(|index| peers.get(index).copied())
        .collect();
    sampled.sort_by_key(|peer| assumed_permille(peer, now));
    sampled
        .into_iter()
        .take(CLAIMS_PER_REQUEST)
        .map(|peer| peer.target)
        .collect()
}

fn assumed_permille(peer: &PeerView, now: ClockMillis) -> u32 {
    match peer.reported_at {
        Some(reported_at) if now.since(reported_at) <= STALE_MILLIS => peer.request_load_permille,
        Some(_) | None => DEFAULT_LOAD_PERMILLE,
    }
}

/// Draws up to `SAMPLE_SIZE` distinct indices below `count`.
fn sample_indices(count: usize, draw: u64) -> Vec<usize> {
    let mut state = draw;
    let mut indices: Vec<usize> = Vec::with_capacity(SAMPLE_SIZE);
    let sample_size = SAMPLE_SIZE.min(count);
    while indices.len() < sample_size {
        state = splitmix64(state);
        let bound = u64::try_from(count).unwrap_or(u64::MAX);
        let index = usize::try_from(state % bound).unwrap_or(0);
        if !indices.contains(&index) {
            indices.push(index);
        }
    }
    indices
}

/// One step of the splitmix64 generator.
fn splitmix64(state: u64) -> u64 {
    let next = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let one = (next ^ (next >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let two = (one ^ (one >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    two ^ (two >> 31)
}
