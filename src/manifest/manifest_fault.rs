use miette::Diagnostic;
use thiserror::Error;

use super::FaultCause;

/// A broken rule of a manifest and its place in the document.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
#[error("`{place}`: {cause}")]
pub struct ManifestFault {
    /// The place, such as `services[2].rules[0].path_prefix`.
    pub place: String,
    /// The rule that is broken there.
    pub cause: FaultCause,
}

impl ManifestFault {
    /// Names the rule that is broken at `place`.
    #[must_use]
    pub fn new(place: impl Into<String>, cause: FaultCause) -> Self {
        Self {
            place: place.into(),
            cause,
        }
    }
}
