use std::{fs, path::Path};

use serde::de::DeserializeOwned;

use super::SettingsError;

/// Settings that can be validated before the program starts.
pub trait ValidateSettings: DeserializeOwned {
    /// Validates the values; `path` is only used in errors.
    ///
    /// # Errors
    ///
    /// Fails with the first field whose value is not allowed.
    fn validate(&self, path: &Path) -> Result<(), SettingsError>;
}

/// Reads, decodes and validates the settings file at `path`.
///
/// # Errors
///
/// Fails when the file can't be read, is malformed or has a value that is not
/// allowed.
pub fn load_settings<T: ValidateSettings>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
        path: path.to_owned(),
        cause,
    })?;
    let settings: T = parse_settings(&text, path)?;
    settings.validate(path)?;
    Ok(settings)
}

/// Decodes JSON; errors name the field, line and column. `path` is only used in
/// errors.
///
/// # Errors
///
/// Fails when the text is not JSON of the expected structure.
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
