use std::collections::{HashSet, VecDeque};

use crate::clock::{ClockMillis, SpanMillis};

/// How long a nonce is remembered: twice the window in which a proof holds.
const NONCE_MILLIS: SpanMillis = SpanMillis::new(70_000);
/// Nonces that are remembered at most.
const MOST_NONCES: usize = 65_536;

/// The nonces of recent calls of peers, so that none is taken twice.
#[derive(Debug, Default)]
pub(super) struct NonceBook {
    nonces: HashSet<u64>,
    order: VecDeque<(ClockMillis, u64)>,
}

impl NonceBook {
    /// Notes a nonce; returns false if it was seen or can't be remembered.
    pub(super) fn take(&mut self, nonce: u64, now: ClockMillis) -> bool {
        while self.order.front().is_some_and(|(end, _)| *end <= now) {
            if let Some((_, old)) = self.order.pop_front() {
                self.nonces.remove(&old);
            }
        }
        if self.order.len() >= MOST_NONCES || !self.nonces.insert(nonce) {
            return false;
        }
        self.order.push_back((now.after(NONCE_MILLIS), nonce));
        true
    }
}
