use std::{
    net::SocketAddrV4,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::SpanMillis,
    key::DomainName,
    program::LogFormat,
    settings::{SettingsCheck, SettingsError},
    tls::CertificateFiles,
};

/// The shortest life of a connection ID, in milliseconds.
const LEAST_ID_LIFE_MILLIS: u64 = 1_000;

/// The settings of `cyclamen-agent`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The agent's name, unique in the deployment.
    pub name: String,
    /// Where the agent and its upstream run.
    pub domain: DomainName,
    /// The service of the manifest that the upstream belongs to.
    pub service: String,
    /// Where the upstream answers HTTP/1.1.
    pub upstream: SocketAddrV4,
    /// The address that balancers send frames to.
    pub tunnel_listen: SocketAddrV4,
    /// The address at which the agent answers other agents.
    pub peer_listen: SocketAddrV4,
    /// The share of new connections, relative to other targets.
    #[serde(default = "default_weight")]
    pub weight: u16,
    /// The call addresses of the control replicas.
    pub control: Vec<SocketAddrV4>,
    /// The file with the deployment secret.
    pub secret_file: PathBuf,
    /// The certificate that callers see.
    pub tls: CertificateFiles,
    /// The life of a connection ID; connections outlive a rotation of the
    /// secret when both epochs stay live for longer than this.
    #[serde(rename = "connection_id_millis", default = "default_id_life")]
    pub connection_id_life: SpanMillis,
    /// The address of the admin calls.
    #[serde(default)]
    pub admin_listen: Option<SocketAddrV4>,
    /// The address of the metrics.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddrV4>,
    /// How log lines are written.
    #[serde(default)]
    pub log_format: LogFormat,
}

const fn default_weight() -> u16 {
    1
}

const fn default_id_life() -> SpanMillis {
    SpanMillis::new(600_000)
}

impl SettingsCheck for AgentSettings {
    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let fault = |field, value: String, allowed| {
            Err(SettingsError::OutOfRange {
                path: path.to_owned(),
                field,
                value,
                allowed,
            })
        };
        if self.name.is_empty() {
            return fault(
                "name",
                self.name.clone(),
                "a name of at least one character",
            );
        }
        if self.service.is_empty() {
            let allowed = "the name of a service of the manifest";
            return fault("service", self.service.clone(), allowed);
        }
        if self.control.is_empty() {
            return fault("control", "empty".to_owned(), "at least one address");
        }
        if self.weight == 0 {
            return fault("weight", "0".to_owned(), "1 to 65535");
        }
        for (field, address) in [
            ("tunnel_listen", self.tunnel_listen),
            ("peer_listen", self.peer_listen),
        ] {
            if address.ip().is_unspecified() || address.port() == 0 {
                let allowed = "an address of this machine with a port, as others reach it";
                return fault(field, address.to_string(), allowed);
            }
        }
        if self.connection_id_life.millis() < LEAST_ID_LIFE_MILLIS {
            let value = self.connection_id_life.millis().to_string();
            return fault("connection_id_millis", value, "at least 1000");
        }
        Ok(())
    }
}
