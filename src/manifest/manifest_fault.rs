use miette::Diagnostic;
use thiserror::Error;

use super::FaultCause;

/// A fault in a manifest, with its place in the document.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
#[error("`{place}`: {cause}")]
pub struct ManifestFault {
    /// The path of the value, such as `services[2].rules[0].path_prefix`.
    pub place: String,
    /// Why the value is invalid.
    pub cause: FaultCause,
}

impl ManifestFault {
    /// Creates a fault of the value at `place`.
    #[must_use]
    pub fn new(place: impl Into<String>, cause: FaultCause) -> Self {
        Self {
            place: place.into(),
            cause,
        }
    }
}
