use std::fmt;

use crate::check::CheckEntry;

/// A part of a valid manifest that has no effect, or that control would refuse.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ManifestFinding {
    /// The version does not exceed the one in force.
    VersionNotAbove {
        /// The manifest's version.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// The manifest replaces another version than the one in force.
    ReplacesOther {
        /// The version that the manifest replaces.
        replaces: u64,
        /// The version in force.
        in_force: u64,
    },
    /// Earlier rules together match every request that the rule matches.
    ShadowedRule {
        /// The path of the rule.
        place: String,
        /// The rule's name.
        rule: String,
        /// The names of the earlier rules.
        by: Vec<String>,
    },
}

impl ManifestFinding {
    /// Returns the finding as a warning of a report.
    #[must_use]
    pub fn warning(&self) -> CheckEntry {
        let place = match self {
            Self::VersionNotAbove { .. } => "version",
            Self::ReplacesOther { .. } => "replaces",
            Self::ShadowedRule { place, .. } => place,
        };
        CheckEntry::new(place, self)
    }
}

impl fmt::Display for ManifestFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::VersionNotAbove { version, in_force } => write!(
                formatter,
                "version {version} does not exceed version {in_force} in force"
            ),
            Self::ReplacesOther { replaces, in_force } => write!(
                formatter,
                "version {replaces} would be replaced, but version {in_force} is in force"
            ),
            Self::ShadowedRule { rule, by, .. } => write!(
                formatter,
                "rule {rule} never applies, since earlier rules match all its requests: {}",
                by.join(", ")
            ),
        }
    }
}
