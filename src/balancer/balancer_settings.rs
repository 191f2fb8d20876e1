use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use crate::{
    key::FailureDomain,
    program::LogFormat,
    settings::{SettingsError, ValidateSettings},
};

/// Maximum number of source ports of the tunnel.
const MAX_TUNNEL_PORTS: usize = 16;

/// The settings of `cyclamen-balancer`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// The balancer's name, unique in the deployment.
    pub name: String,
    /// The region and failure domain that the balancer runs in.
    pub domain: FailureDomain,
    /// The local address that receives callers' datagrams for every service port.
    ///
    /// If it is set, only the port identifies the service. If not, the balancer
    /// listens on all local addresses, and address and port identify the service.
    #[serde(default)]
    pub listen_ip: Option<Ipv4Addr>,
    /// The source address of frames to agents.
    pub tunnel_ip: Ipv4Addr,
    /// The number of source ports for frames to agents.
    #[serde(default = "default_tunnel_ports")]
    pub tunnel_ports: usize,
    /// The RPC addresses of the control replicas.
    pub control: Vec<SocketAddrV4>,
    /// The file that contains the deployment secret.
    pub secret_file: PathBuf,
    /// The listen address of the admin server.
    #[serde(default)]
    pub admin_listen: Option<SocketAddrV4>,
    /// The listen address of the metrics server.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddrV4>,
    /// The format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
}

const fn default_tunnel_ports() -> usize {
    2
}

impl ValidateSettings for BalancerSettings {
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
        if self.control.is_empty() {
            return out_of_range("control", "empty".to_owned(), "at least one address");
        }
        if self.tunnel_ip.is_unspecified() {
            let allowed = "a local address that agents can send answers to";
            return out_of_range("tunnel_ip", self.tunnel_ip.to_string(), allowed);
        }
        if !(1..=MAX_TUNNEL_PORTS).contains(&self.tunnel_ports) {
            return out_of_range("tunnel_ports", self.tunnel_ports.to_string(), "1 to 16");
        }
        Ok(())
    }
}
