use serde::{Deserialize, Serialize};

use super::{PeerLoad, TargetLoad};
use crate::clock::{ClockMillis, SpanMillis};

/// How a serving agent decides on a connection that others could take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum AcceptRule {
    /// Accepts whatever the hash brings.
    HashOnly,
    /// Passes on when the own load has reached a share of the slots.
    Threshold {
        /// The load, in thousandths of the slots, from which on to pass on.
        load_permille: u32,
    },
    /// Passes on when the next candidate has clearly less to do.
    LeastLoadedOfTwo {
        /// How much less the next one must have, in thousandths of the slots.
        margin_permille: u32,
        /// The age from which on a load report is not believed.
        stale_after: SpanMillis,
    },
}

impl AcceptRule {
    /// The rule that is in force unless settings say otherwise.
    pub(crate) const DEFAULT: Self = Self::LeastLoadedOfTwo {
        margin_permille: 250,
        stale_after: SpanMillis::new(1_000),
    };
    /// The load at which a target is taken for busy when its peer is unknown.
    const BUSY_PERMILLE: u32 = 1_000;

    /// Tells whether the next candidate should have the connection.
    pub(super) fn prefers_next(
        self,
        load: TargetLoad,
        next: Option<PeerLoad>,
        now: ClockMillis,
    ) -> bool {
        match self {
            Self::HashOnly => false,
            Self::Threshold { load_permille } => load.work_permille() >= load_permille,
            Self::LeastLoadedOfTwo {
                margin_permille,
                stale_after,
            } => match next.filter(|report| now.since(report.seen) <= stale_after) {
                Some(report) => is_clearly_lighter(report.load, load, margin_permille),
                None => load.work_permille() >= Self::BUSY_PERMILLE,
            },
        }
    }
}

/// Compares work first; connections decide where work is about equal.
fn is_clearly_lighter(other: TargetLoad, own: TargetLoad, margin: u32) -> bool {
    if other.connections >= other.connection_limit {
        return false;
    }
    let own_work = own.work_permille();
    let other_work = other.work_permille();
    if own_work.abs_diff(other_work) >= margin {
        return other_work < own_work;
    }
    // A twentieth more, and two, keep equal targets from passing to and fro.
    u64::from(own.connections) * 20 > u64::from(other.connections) * 21 + 40
}
