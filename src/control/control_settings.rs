use std::{
    net::SocketAddrV4,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use crate::{
    key::DomainName,
    program::LogFormat,
    settings::{SettingsCheck, SettingsError},
};

/// The settings of `cyclamen-control`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The replica's name.
    pub name: String,
    /// Where the replica runs.
    pub domain: DomainName,
    /// The address that calls arrive at; port 0 lets the system choose.
    pub listen: SocketAddrV4,
    /// The call addresses of the other replicas.
    #[serde(default)]
    pub peers: Vec<SocketAddrV4>,
    /// The folder that holds everything that must survive.
    pub data_folder: PathBuf,
    /// The file of the deployment secret.
    pub secret_file: PathBuf,
    /// Where metrics can be fetched, if anywhere.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddrV4>,
    /// How log lines are written.
    #[serde(default)]
    pub log_format: LogFormat,
}

impl SettingsCheck for ControlSettings {
    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        if self.name.is_empty() {
            return Err(SettingsError::OutOfRange {
                path: path.to_owned(),
                field: "name",
                value: "empty".to_owned(),
                allowed: "a name of at least one letter",
            });
        }
        Ok(())
    }
}
