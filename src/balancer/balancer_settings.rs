use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use crate::{
    key::DomainName,
    program::LogFormat,
    settings::{SettingsCheck, SettingsError},
};

/// The most source ports of the tunnel.
const MOST_TUNNEL_PORTS: usize = 16;

/// The settings of `cyclamen-balancer`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// The balancer's name, unique in the deployment.
    pub name: String,
    /// Where the balancer runs.
    pub domain: DomainName,
    /// The address that callers' datagrams arrive at, for every service port.
    ///
    /// Without it the balancer listens on every address of the machine and
    /// tells services apart by the whole address; with it, by the port alone.
    #[serde(default)]
    pub listen_ip: Option<Ipv4Addr>,
    /// The address that frames to agents leave from.
    pub tunnel_ip: Ipv4Addr,
    /// The number of source ports towards agents.
    #[serde(default = "default_tunnel_ports")]
    pub tunnel_ports: usize,
    /// The call addresses of the control replicas.
    pub control: Vec<SocketAddrV4>,
    /// The file with the deployment secret.
    pub secret_file: PathBuf,
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

const fn default_tunnel_ports() -> usize {
    2
}

impl SettingsCheck for BalancerSettings {
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
        if self.control.is_empty() {
            return fault("control", "empty".to_owned(), "at least one address");
        }
        if self.tunnel_ip.is_unspecified() {
            let allowed = "an address of this machine that agents can answer to";
            return fault("tunnel_ip", self.tunnel_ip.to_string(), allowed);
        }
        if !(1..=MOST_TUNNEL_PORTS).contains(&self.tunnel_ports) {
            return fault("tunnel_ports", self.tunnel_ports.to_string(), "1 to 16");
        }
        Ok(())
    }
}
