use serde::{Deserialize, Serialize};

use super::{PeerLoad, TargetLoad};
use crate::clock::{ClockMillis, SpanMillis};

/// How a serving agent decides on a connection that another candidate could accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum AcceptRule {
    /// Accepts every connection, as hashing assigned it.
    HashOnly,
    /// Passes on when this agent's load reaches a share of its slots.
    Threshold {
        /// The lowest load, in thousandths of the slots, at which to pass on.
        load_permille: u32,
    },
    /// Passes on when the next candidate is clearly less loaded.
    LeastLoadedOfTwo {
        /// The difference in requests, in thousandths of the slots, from which on
        /// requests are compared rather than connections.
        margin_permille: u32,
        /// Load reports older than this are ignored.
        stale_after: SpanMillis,
    },
}

impl AcceptRule {
    /// The default rule.
    pub(crate) const DEFAULT: Self = Self::LeastLoadedOfTwo {
        margin_permille: 250,
        stale_after: SpanMillis::new(1_000),
    };
    /// Load from which to pass on when the next candidate's load is unknown or stale.
    const BUSY_PERMILLE: u32 = 1_000;

    /// Returns whether to pass the connection on to the next candidate.
    pub(super) fn prefers_next(
        self,
        load: TargetLoad,
        next: Option<PeerLoad>,
        now: ClockMillis,
    ) -> bool {
        match self {
            Self::HashOnly => false,
            Self::Threshold { load_permille } => load.request_load_permille() >= load_permille,
            Self::LeastLoadedOfTwo {
                margin_permille,
                stale_after,
            } => match next.filter(|report| now.since(report.reported_at) <= stale_after) {
                Some(report) => is_less_loaded(report.load, load, margin_permille),
                None => load.request_load_permille() >= Self::BUSY_PERMILLE,
            },
        }
    }
}

/// Compares load by requests; by connections where requests differ by less than `margin`.
fn is_less_loaded(other: TargetLoad, own: TargetLoad, margin: u32) -> bool {
    if other.connections >= other.connection_limit {
        return false;
    }
    let own_load = own.request_load_permille();
    let other_load = other.request_load_permille();
    if own_load.abs_diff(other_load) >= margin {
        return other_load < own_load;
    }
    // 5 % plus two connections, so that equal targets don't pass connections back and forth.
    u64::from(own.connections) * 20 > u64::from(other.connections) * 21 + 40
}
