use serde::Serialize;

use crate::lab::model::{RunReport, RunSetup};

/// The table that a case belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CaseGroup {
    /// Relay rules at three loads.
    Relay,
    /// Accepting rules at three loads.
    Accept,
    /// Message delays, losses and lagging reports.
    Messages,
    /// Slow, cold and leaving targets, and bursts.
    Change,
    /// Failures.
    Failure,
}

/// One run of the model with the words that tell what it tries.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct PolicyCase {
    /// The table.
    pub(crate) group: CaseGroup,
    /// What is varied.
    pub(crate) title: String,
    /// The setup of the run.
    pub(crate) setup: RunSetup,
}

/// A case with its figures.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct PolicyResult {
    /// The table.
    pub(crate) group: CaseGroup,
    /// What is varied.
    pub(crate) title: String,
    /// The figures.
    pub(crate) report: RunReport,
}

impl CaseGroup {
    /// Every group, in the order of the tables.
    pub(crate) const ALL: [Self; 5] = [
        Self::Relay,
        Self::Accept,
        Self::Messages,
        Self::Change,
        Self::Failure,
    ];

    /// Returns the heading of the table.
    pub(crate) const fn heading(self) -> &'static str {
        match self {
            Self::Relay => "Relay rules",
            Self::Accept => "Accepting rules",
            Self::Messages => "Late and lost messages",
            Self::Change => "Slow, cold and leaving targets, and bursts",
            Self::Failure => "Failures",
        }
    }
}

impl PolicyCase {
    /// Names a run.
    pub(crate) fn new(group: CaseGroup, title: &str, setup: RunSetup) -> Self {
        Self {
            group,
            title: title.to_owned(),
            setup,
        }
    }
}
