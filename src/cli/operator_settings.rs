use std::{
    net::SocketAddrV4,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use crate::settings::{SettingsError, ValidateSettings};

/// The settings of `cyclamen`: defaults for options of its commands.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The call addresses of the control replicas.
    #[serde(default)]
    pub control: Vec<SocketAddrV4>,
    /// The file with the deployment secret.
    #[serde(default)]
    pub secret: Option<PathBuf>,
}

impl ValidateSettings for OperatorSettings {
    fn validate(&self, path: &Path) -> Result<(), SettingsError> {
        match self.control.iter().find(|address| address.port() == 0) {
            Some(address) => Err(SettingsError::OutOfRange {
                path: path.to_owned(),
                field: "control",
                value: address.to_string(),
                allowed: "addresses with a port other than 0",
            }),
            None => Ok(()),
        }
    }
}
