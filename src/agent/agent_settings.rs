use std::{
    net::SocketAddrV4,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::SpanMillis,
    key::FailureDomain,
    program::LogFormat,
    settings::{SettingsError, ValidateSettings},
    tls::CertificateFiles,
};

/// The shortest lifetime of a connection ID, in milliseconds.
const MIN_ID_LIFETIME_MILLIS: u64 = 1_000;

/// The settings of `cyclamen-agent`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The agent's name, unique in the deployment.
    pub name: String,
    /// The failure domain of the agent and its upstream.
    pub domain: FailureDomain,
    /// The service of the manifest that the upstream belongs to.
    pub service: String,
    /// The HTTP/1.1 address of the upstream.
    pub upstream: SocketAddrV4,
    /// The UDP address to which balancers send frames.
    pub tunnel_listen: SocketAddrV4,
    /// The TCP address at which the agent serves other agents.
    pub peer_listen: SocketAddrV4,
    /// The weight of the target, for its share of new connections.
    #[serde(default = "default_weight")]
    pub weight: u16,
    /// The RPC addresses of the control replicas.
    pub control: Vec<SocketAddrV4>,
    /// The file with the deployment secret.
    pub secret_file: PathBuf,
    /// The certificate presented to callers.
    pub tls: CertificateFiles,
    /// The lifetime of a connection ID; connections survive a rotation of the
    /// secret if both epochs stay valid for longer than this.
    #[serde(rename = "connection_id_millis", default = "default_id_lifetime")]
    pub connection_id_lifetime: SpanMillis,
    /// The address of the admin calls.
    #[serde(default)]
    pub admin_listen: Option<SocketAddrV4>,
    /// The address of the metrics.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddrV4>,
    /// The format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
}

const fn default_weight() -> u16 {
    1
}

const fn default_id_lifetime() -> SpanMillis {
    SpanMillis::new(600_000)
}

impl ValidateSettings for AgentSettings {
    fn validate(&self, path: &Path) -> Result<(), SettingsError> {
        let out_of_range = |field, value: String, allowed| {
            Err(SettingsError::OutOfRange {
                path: path.to_owned(),
                field,
                value,
                allowed,
            })
        };
        if self.name.is_empty() {
            return out_of_range(
                "name",
                self.name.clone(),
                "a name of at least one character",
            );
        }
        if self.service.is_empty() {
            let allowed = "the name of a service of the manifest";
            return out_of_range("service", self.service.clone(), allowed);
        }
        if self.control.is_empty() {
            return out_of_range("control", "empty".to_owned(), "at least one address");
        }
        if self.weight == 0 {
            return out_of_range("weight", "0".to_owned(), "1 to 65535");
        }
        for (field, address) in [
            ("tunnel_listen", self.tunnel_listen),
            ("peer_listen", self.peer_listen),
        ] {
            if address.ip().is_unspecified() || address.port() == 0 {
                let allowed = "an address of this host with a port, as others reach it";
                return out_of_range(field, address.to_string(), allowed);
            }
        }
        if self.connection_id_lifetime.millis() < MIN_ID_LIFETIME_MILLIS {
            let value = self.connection_id_lifetime.millis().to_string();
            return out_of_range("connection_id_millis", value, "at least 1000");
        }
        Ok(())
    }
}
