use serde::{Deserialize, Serialize};

use crate::clock::SpanMillis;

/// Latency goal of a route that sets none.
const DEFAULT_GOAL_MILLIS: SpanMillis = SpanMillis::new(500);
/// Timeout of a route that sets none.
const DEFAULT_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(5_000);
/// Rank of a route that sets none: after all urgent routes.
const DEFAULT_RANK: u8 = 2;

/// Urgency of a route's requests, which orders queued openings when targets are
/// full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteUrgency {
    /// The rank among routes; zero goes first.
    pub rank: u8,
    /// The latency goal: a faster answer has no further benefit.
    pub goal: SpanMillis,
    /// The time after which an answer is useless.
    pub timeout: SpanMillis,
}

impl Default for RouteUrgency {
    fn default() -> Self {
        Self {
            rank: DEFAULT_RANK,
            goal: DEFAULT_GOAL_MILLIS,
            timeout: DEFAULT_TIMEOUT_MILLIS,
        }
    }
}
