use serde::Serialize;

use super::ModelMicros;
use crate::{agent::admission, clock::SpanMillis};

/// How the target of a new connection is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum AcceptRule {
    /// The first candidate in hash order always accepts.
    HashOnly,
    /// A candidate passes the connection on while its load is at or above a threshold.
    Threshold {
        /// The threshold in thousandths of the slots.
        load_permille: u32,
    },
    /// The less loaded of two candidates accepts; the second is probed each time.
    FreshProbe {
        /// The load difference needed to pass on, in thousandths of the slots.
        margin_permille: u32,
    },
    /// The less loaded of two candidates accepts, by the last load report of the second.
    LaggingReport {
        /// The load difference needed to pass on, in thousandths of the slots.
        margin_permille: u32,
    },
}

impl AcceptRule {
    /// A margin that request load never reaches, so that connection counts decide.
    pub(crate) const CONNECTIONS_ONLY: u32 = 1_000_000;

    /// Returns the agent's admission rule when load reports come every `period`.
    pub(crate) fn admission_rule(self, period: ModelMicros) -> admission::AcceptRule {
        match self {
            Self::HashOnly => admission::AcceptRule::HashOnly,
            Self::Threshold { load_permille } => admission::AcceptRule::Threshold { load_permille },
            Self::FreshProbe { margin_permille } | Self::LaggingReport { margin_permille } => {
                admission::AcceptRule::LeastLoadedOfTwo {
                    margin_permille,
                    stale_after: SpanMillis::new(period.to_clock().millis() * 2),
                }
            }
        }
    }

    /// Returns the short name used in tables.
    pub(crate) fn label(self) -> String {
        match self {
            Self::HashOnly => "hash only".to_owned(),
            Self::Threshold { load_permille } => format!("threshold {load_permille}\u{2030}"),
            Self::FreshProbe { margin_permille } => {
                format!(
                    "less loaded of two, fresh probe, {}",
                    margin_label(margin_permille)
                )
            }
            Self::LaggingReport { margin_permille } => {
                format!(
                    "less loaded of two, lagging reports, {}",
                    margin_label(margin_permille)
                )
            }
        }
    }
}

fn margin_label(margin_permille: u32) -> String {
    if margin_permille == AcceptRule::CONNECTIONS_ONLY {
        "by connections".to_owned()
    } else {
        format!("margin {margin_permille}\u{2030}")
    }
}
