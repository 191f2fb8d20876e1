use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::settings::{SettingsCheck, SettingsError};

/// The settings of `cyclamen-control`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {}

impl SettingsCheck for ControlSettings {
    fn check(&self, _path: &Path) -> Result<(), SettingsError> {
        Ok(())
    }
}
