use std::{fs::File, io, io::Read, path::Path};

use miette::Diagnostic;
use thiserror::Error;

use super::{Manifest, ManifestFault, check_manifest};

/// The maximum size of a manifest file.
pub const MAX_MANIFEST_BYTES: usize = 32 * 1024 * 1024;

/// Why a manifest could not be loaded or parsed.
#[derive(Debug, Error, Diagnostic)]
pub enum ManifestError {
    /// The file could not be read.
    #[error("cannot read the manifest: {0}")]
    Unreadable(#[source] io::Error),
    /// The text exceeds the size limit.
    #[error("the manifest is too large; allowed: at most {MAX_MANIFEST_BYTES} bytes")]
    TooLarge,
    /// The text is not JSON, or does not match the schema.
    #[error("`{place}`, line {line}, column {column}: {message}")]
    Malformed {
        /// The path of the value in the document.
        place: String,
        /// The line, starting at 1.
        line: usize,
        /// The column, starting at 1.
        column: usize,
        /// The decoder's message.
        message: String,
    },
    /// The document has invalid values.
    #[error("{}", join_faults(faults))]
    Invalid {
        /// The faults, each with its place.
        faults: Vec<ManifestFault>,
    },
}

/// The JSON text of a manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestText(String);

impl ManifestText {
    /// Wraps a text without checking it.
    #[must_use]
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Reads the file at `path`, at most one byte more than the size limit.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or is not UTF-8; `parse` refuses an oversized text.
    pub fn load(path: &Path) -> Result<Self, ManifestError> {
        let limit = u64::try_from(MAX_MANIFEST_BYTES).unwrap_or(u64::MAX);
        let mut text = String::new();
        File::open(path)
            .and_then(|file| file.take(limit + 1).read_to_string(&mut text))
            .map_err(ManifestError::Unreadable)?;
        Ok(Self(text))
    }

    /// Decodes and validates the text.
    ///
    /// # Errors
    ///
    /// Fails with the place of the first malformed value, or with the faults of
    /// a well-formed document.
    pub fn parse(&self) -> Result<Manifest, ManifestError> {
        if self.0.len() > MAX_MANIFEST_BYTES {
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
    /// Fails when the encoder does, which plain data does not cause.
    pub fn to_text(&self) -> Result<ManifestText, serde_json::Error> {
        serde_json::to_string_pretty(self).map(ManifestText)
    }
}

fn malformed(place: &str, error: &serde_json::Error) -> ManifestError {
    // The decoder reports the path `?` for a truncated text.
    let place = if place == "?" { "." } else { place };
    ManifestError::Malformed {
        place: place.to_owned(),
        line: error.line(),
        column: error.column(),
        message: message_without_position(error),
    }
}

/// Returns the decoder's message without its trailing line and column.
fn message_without_position(error: &serde_json::Error) -> String {
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
