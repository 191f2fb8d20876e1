use serde::Serialize;

use crate::lab::model::{RunReport, RunSetup};

/// The table in which a case is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CaseGroup {
    /// Relay rules at three loads.
    Relay,
    /// Accepting rules at three loads.
    Accept,
    /// Message delays, lost messages and lagging reports.
    Messages,
    /// Slow, cold and leaving targets, and bursts.
    Change,
    /// Retry storms and failures of targets.
    Failure,
}

/// A setup to run, with its table and title.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct PolicyCase {
    pub(crate) group: CaseGroup,
    /// What the case varies.
    pub(crate) title: String,
    pub(crate) setup: RunSetup,
}

/// The results of a case.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct PolicyResult {
    pub(crate) group: CaseGroup,
    /// What the case varies.
    pub(crate) title: String,
    pub(crate) report: RunReport,
}

impl CaseGroup {
    /// All groups, in the order of their tables.
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
    pub(crate) fn new(group: CaseGroup, title: &str, setup: RunSetup) -> Self {
        Self {
            group,
            title: title.to_owned(),
            setup,
        }
    }
}
