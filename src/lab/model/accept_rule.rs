use serde::Serialize;

use super::ModelMicros;
use crate::{agent::admission, clock::SpanMillis};

/// How a new connection finds the target that keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum AcceptRule {
    /// The first candidate of the hash always accepts.
    HashOnly,
    /// A candidate passes on while it has that much to do.
    Threshold {
        /// The work, in thousandths of its slots, from which on it passes on.
        load_permille: u32,
    },
    /// The less loaded of two accepts; the second one is asked each time.
    FreshProbe {
        /// The work, in thousandths of the slots, that it must be ahead by.
        margin_permille: u32,
    },
    /// The less loaded of two accepts, by what the second one last reported.
    LaggingReport {
        /// The work, in thousandths of the slots, that it must be ahead by.
        margin_permille: u32,
    },
}

impl AcceptRule {
    /// A margin that work never reaches, so that connections decide.
    pub(crate) const CONNECTIONS_ONLY: u32 = 1_000_000;

    /// Returns the rule of the agent's gate when reports come every `period`.
    pub(crate) fn gate_rule(self, period: ModelMicros) -> admission::AcceptRule {
        match self {
            Self::HashOnly => admission::AcceptRule::HashOnly,
            Self::Threshold { load_permille } => admission::AcceptRule::Threshold { load_permille },
            Self::FreshProbe { margin_permille } | Self::LaggingReport { margin_permille } => {
                admission::AcceptRule::LeastLoadedOfTwo {
                    margin_permille,
                    stale_after: SpanMillis::new(period.clock().millis() * 2),
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
                    measure_of(margin_permille)
                )
            }
            Self::LaggingReport { margin_permille } => {
                format!(
                    "less loaded of two, lagging reports, {}",
                    measure_of(margin_permille)
                )
            }
        }
    }
}

fn measure_of(margin_permille: u32) -> String {
    if margin_permille == AcceptRule::CONNECTIONS_ONLY {
        "by connections".to_owned()
    } else {
        format!("margin {margin_permille}\u{2030}")
    }
}
