use std::{fs, path::Path};

use serde::de::DeserializeOwned;

use super::SettingsError;

/// Settings that can be verified before anything starts.
pub trait SettingsCheck: DeserializeOwned {
    /// Verifies the values; `path` names the file in errors.
    ///
    /// # Errors
    ///
    /// Fails with the first field that holds a value out of its range.
    fn check(&self, path: &Path) -> Result<(), SettingsError>;
}

/// Reads, decodes and verifies the settings in the file at `path`.
///
/// # Errors
///
/// Fails when the file can't be read, is malformed or out of range.
pub fn load_settings<T: SettingsCheck>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
        path: path.to_owned(),
        cause,
    })?;
    let settings: T = parse_settings(&text, path)?;
    settings.check(path)?;
    Ok(settings)
}

/// Decodes JSON and names the place of a fault; `path` is only for errors.
///
/// # Errors
///
/// Fails when the text is no JSON of the expected shape.
pub fn parse_settings<T: DeserializeOwned>(text: &str, path: &Path) -> Result<T, SettingsError> {
    let mut decoder = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut decoder)
        .map_err(|error| malformed(path, &error.path().to_string(), error.inner()))?;
    decoder
        .end()
        .map_err(|error| malformed(path, ".", &error))?;
    Ok(value)
}

fn malformed(path: &Path, field: &str, error: &serde_json::Error) -> SettingsError {
    SettingsError::Malformed {
        path: path.to_owned(),
        field: field.to_owned(),
        line: error.line(),
        column: error.column(),
        message: error.to_string(),
    }
}
