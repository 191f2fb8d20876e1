use serde::{Deserialize, Serialize};

use crate::clock::SpanMillis;

/// The answer time that counts as good where a route names none.
const DEFAULT_GOAL_MILLIS: SpanMillis = SpanMillis::new(500);
/// The timeout of a route that names none.
const DEFAULT_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(5_000);
/// The rank of a route that names none: behind everything that is urgent.
const DEFAULT_RANK: u8 = 2;

/// How pressing the requests of a route are; it decides who goes first when
/// targets are full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteUrgency {
    /// The place among routes; zero goes first.
    pub rank: u8,
    /// The time within which an answer is as good as at once.
    pub goal: SpanMillis,
    /// The time after which an answer is of no use.
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
