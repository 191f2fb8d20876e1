use std::collections::{HashSet, VecDeque};

use crate::clock::{ClockMillis, SpanMillis};

/// How long a nonce is remembered; longer than the 60 s for which a proof is
/// valid (30 s of clock difference either way).
const NONCE_LIFETIME_MILLIS: SpanMillis = SpanMillis::new(70_000);
/// The most nonces remembered at once; further calls are refused.
const MAX_NONCES: usize = 65_536;

/// Nonces of recent peer calls, to reject replays.
#[derive(Debug, Default)]
pub(super) struct NonceCache {
    nonces: HashSet<u64>,
    order: VecDeque<(ClockMillis, u64)>,
}

impl NonceCache {
    /// Records a nonce; returns false if it is a replay or the cache is full.
    pub(super) fn insert(&mut self, nonce: u64, now: ClockMillis) -> bool {
        while self.order.front().is_some_and(|(end, _)| *end <= now) {
            if let Some((_, old)) = self.order.pop_front() {
                self.nonces.remove(&old);
            }
        }
        if self.order.len() >= MAX_NONCES || !self.nonces.insert(nonce) {
            return false;
        }
        self.order
            .push_back((now.after(NONCE_LIFETIME_MILLIS), nonce));
        true
    }
}
