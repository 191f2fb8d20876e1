use serde::Serialize;

/// How a new connection finds the target that keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum AcceptRule {
    /// The first candidate of the hash always accepts.
    HashOnly,
    /// A candidate passes on while it holds more than `percent` of the mean
    /// number of connections that its peers last reported.
    Threshold {
        /// The share of the mean, in percent, up to which it accepts.
        percent: u32,
    },
    /// A candidate asks the next one, and the less loaded of both accepts.
    FreshProbe,
    /// The balancer picks the less loaded of two by reports of the past.
    LaggingReport,
}

impl AcceptRule {
    /// Returns the short name used in tables.
    pub(crate) fn label(self) -> String {
        match self {
            Self::HashOnly => "hash only".to_owned(),
            Self::Threshold { percent } => format!("threshold {percent}%"),
            Self::FreshProbe => "less loaded of two, fresh probe".to_owned(),
            Self::LaggingReport => "less loaded of two, lagging reports".to_owned(),
        }
    }
}
