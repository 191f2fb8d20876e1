use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::settings::{SettingsCheck, SettingsError};

/// The settings of `cyclamen-agent`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {}

impl SettingsCheck for AgentSettings {
    fn check(&self, _path: &Path) -> Result<(), SettingsError> {
        Ok(())
    }
}
