use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::settings::{SettingsCheck, SettingsError};

/// The settings of `cyclamen-balancer`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {}

impl SettingsCheck for BalancerSettings {
    fn check(&self, _path: &Path) -> Result<(), SettingsError> {
        Ok(())
    }
}
