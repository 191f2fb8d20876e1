use std::{fs::File, io, io::Read, path::Path};

use miette::Diagnostic;
use thiserror::Error;

use super::{Manifest, ManifestFault, check_manifest};

/// The largest manifest file in bytes.
pub const MOST_MANIFEST_BYTES: usize = 32 * 1024 * 1024;

/// Why a manifest's text was refused.
#[derive(Debug, Error, Diagnostic)]
pub enum ManifestError {
    /// The file could not be read.
    #[error("cannot read the manifest: {0}")]
    Unreadable(#[source] io::Error),
    /// The text is longer than any manifest.
    #[error("the manifest has more than {MOST_MANIFEST_BYTES} bytes; allowed: at most that")]
    TooLarge,
    /// The text is no JSON of the expected shape.
    #[error("`{place}`, line {line}, column {column}: {message}")]
    Malformed {
        /// The place in the document.
        place: String,
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// What the decoder expected.
        message: String,
    },
    /// The document breaks rules.
    #[error("{}", join_faults(faults))]
    Invalid {
        /// Each broken rule with its place.
        faults: Vec<ManifestFault>,
    },
}

/// The text of a manifest, as a build pipeline wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestText(String);

impl ManifestText {
    /// Wraps a text that was read elsewhere.
    #[must_use]
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Reads the text of the file at `path`, within the size bound.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or is too large.
    pub fn load(path: &Path) -> Result<Self, ManifestError> {
        let bound = u64::try_from(MOST_MANIFEST_BYTES).unwrap_or(u64::MAX);
        let mut text = String::new();
        File::open(path)
            .and_then(|file| file.take(bound + 1).read_to_string(&mut text))
            .map_err(ManifestError::Unreadable)?;
        Ok(Self(text))
    }

    /// Decodes the text and verifies every rule.
    ///
    /// # Errors
    ///
    /// Fails with the place of the first malformed value, or with every
    /// broken rule of a well-formed document.
    pub fn parse(&self) -> Result<Manifest, ManifestError> {
        if self.0.len() > MOST_MANIFEST_BYTES {
            return Err(ManifestError::TooLarge);
        }
        let manifest = self.decode()?;
        check_manifest(&manifest).map_err(|faults| ManifestError::Invalid { faults })?;
        Ok(manifest)
    }

    fn decode(&self) -> Result<Manifest, ManifestError> {
        let mut decoder = serde_json::Deserializer::from_str(&self.0);
        let manifest = serde_path_to_error::deserialize(&mut decoder)
            .map_err(|error| malformed(&error.path().to_string(), error.inner()))?;
        decoder.end().map_err(|error| malformed(".", &error))?;
        Ok(manifest)
    }
}

impl Manifest {
    /// Returns the document as indented JSON.
    ///
    /// # Errors
    ///
    /// Fails when the encoder does; plain data gives it no reason to.
    pub fn to_text(&self) -> Result<ManifestText, serde_json::Error> {
        serde_json::to_string_pretty(self).map(ManifestText)
    }
}

fn malformed(place: &str, error: &serde_json::Error) -> ManifestError {
    // The decoder names no place within text that breaks off.
    let place = if place == "?" { "." } else { place };
    ManifestError::Malformed {
        place: place.to_owned(),
        line: error.line(),
        column: error.column(),
        message: bare_message(error),
    }
}

/// Returns the decoder's message without the place that it ends with.
fn bare_message(error: &serde_json::Error) -> String {
    let message = error.to_string();
    match message.rfind(" at line ") {
        Some(end) => message[..end].to_owned(),
        None => message,
    }
}

fn join_faults(faults: &[ManifestFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
