use std::{
    collections::BTreeSet,
    net::SocketAddrV4,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use super::{
    PeerSettings,
    replica::{GroupAdmission, ReplicaId},
    replica_shell::{DiskFaultPolicy, PeerAddress, ReplicaOptions, ReplicaStorage},
};
use crate::{
    key::FailureDomain,
    program::LogFormat,
    settings::{SettingsError, ValidateSettings},
};

/// The folder of the replicated log, within the data folder.
const LOG_FOLDER: &str = "replica";
/// The maximum number of other replicas in the group.
const MAX_PEERS: usize = 6;

/// The settings of `cyclamen-control`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The replica's name.
    pub name: String,
    /// The region and failure domain that the replica runs in.
    pub domain: FailureDomain,
    /// The address on which the replica serves calls; port 0 selects a free port.
    pub listen: SocketAddrV4,
    /// This replica's number, unique in the group.
    #[serde(default = "default_replica")]
    pub replica: u8,
    /// The address on which it listens for other replicas; required with `peers`.
    #[serde(default)]
    pub link_listen: Option<SocketAddrV4>,
    /// The other replicas.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// The folder of all persistent data.
    pub data_folder: PathBuf,
    /// The file of the deployment secret.
    pub secret_file: PathBuf,
    /// The address on which metrics are served, if any.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddrV4>,
    /// The format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
}

const fn default_replica() -> u8 {
    1
}

impl ControlSettings {
    /// Returns the options of the log replica.
    pub(crate) fn replica_options(&self) -> ReplicaOptions {
        let peers = self.peers.iter().map(|peer| PeerAddress {
            replica: ReplicaId::new(peer.replica.into()),
            link_address: peer.link_address,
            call_address: peer.call_address,
        });
        ReplicaOptions {
            own: ReplicaId::new(self.replica.into()),
            listen: self.link_listen,
            peers: peers.collect(),
            ports: None,
            storage: ReplicaStorage::Folder(self.data_folder.join(LOG_FOLDER)),
            admission: GroupAdmission::Listed,
            disk_fault_policy: DiskFaultPolicy::Stop,
        }
    }

    /// Returns the first replica number that is used twice.
    fn duplicate_replica(&self) -> Option<u8> {
        let mut replicas = BTreeSet::from([self.replica]);
        let others = self.peers.iter().map(|peer| peer.replica);
        others
            .into_iter()
            .find(|replica| !replicas.insert(*replica))
    }
}

impl ValidateSettings for ControlSettings {
    fn validate(&self, path: &Path) -> Result<(), SettingsError> {
        if self.name.is_empty() {
            return Err(SettingsError::OutOfRange {
                path: path.to_owned(),
                field: "name",
                value: "empty".to_owned(),
                allowed: "a non-empty name",
            });
        }
        let out_of_range = |field, value, allowed| {
            Err(SettingsError::OutOfRange {
                path: path.to_owned(),
                field,
                value,
                allowed,
            })
        };
        if let Some(replica) = self.duplicate_replica() {
            let value = replica.to_string();
            return out_of_range(
                "peers",
                value,
                "a different replica number for each replica",
            );
        }
        if self.peers.len() > MAX_PEERS {
            let value = format!("{} replicas", self.peers.len());
            return out_of_range("peers", value, "at most 6 other replicas");
        }
        if !self.peers.is_empty() && self.link_listen.is_none() {
            let value = "absent".to_owned();
            return out_of_range("link_listen", value, "an address, required with `peers`");
        }
        Ok(())
    }
}
