use crate::{
    clock::{ClockMillis, SpanMillis},
    key::TargetKey,
};

/// Peers at which one request puts claims.
const CLAIMS: usize = 2;
/// Peers that are drawn before the least loaded of them are taken.
const DRAWN: usize = 4;
/// The age from which on a load report says nothing.
const STALE_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// What is assumed of a peer that has told nothing of late.
const UNKNOWN_PERMILLE: u32 = 1_000;

/// What is known of a peer of the same service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerView {
    /// The peer's target.
    pub(crate) target: TargetKey,
    /// Its requests in thousandths of its slots, as it last told.
    pub(crate) work_permille: u32,
    /// When it told so.
    pub(crate) seen: Option<ClockMillis>,
}

/// Chooses the peers that a request claims slots at.
///
/// A report only orders the peers that the dice chose, so a peer that tells
/// too low a load gets its usual share of claims and no more.
pub(crate) fn sample_peers(peers: &[PeerView], draw: u64, now: ClockMillis) -> Vec<TargetKey> {
    let mut drawn: Vec<PeerView> = draw_indices(peers.len(), draw)
        .into_iter()
        .filter_map(|index| peers.get(index).copied())
        .collect();
    drawn.sort_by_key(|peer| believed_load(peer, now));
    drawn
        .into_iter()
        .take(CLAIMS)
        .map(|peer| peer.target)
        .collect()
}

fn believed_load(peer: &PeerView, now: ClockMillis) -> u32 {
    match peer.seen {
        Some(seen) if now.since(seen) <= STALE_MILLIS => peer.work_permille,
        Some(_) | None => UNKNOWN_PERMILLE,
    }
}

/// Draws up to `DRAWN` different numbers below `count`.
fn draw_indices(count: usize, draw: u64) -> Vec<usize> {
    let mut state = draw;
    let mut indices: Vec<usize> = Vec::with_capacity(DRAWN);
    let wanted = DRAWN.min(count);
    while indices.len() < wanted {
        state = mix(state);
        let below = u64::try_from(count).unwrap_or(u64::MAX);
        let index = usize::try_from(state % below).unwrap_or(0);
        if !indices.contains(&index) {
            indices.push(index);
        }
    }
    indices
}

/// One step of the splitmix64 generator.
fn mix(state: u64) -> u64 {
    let next = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let one = (next ^ (next >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let two = (one ^ (one >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    two ^ (two >> 31)
}
