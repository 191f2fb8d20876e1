use std::{
    collections::BTreeSet,
    net::SocketAddrV4,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use super::{
    PeerSettings,
    replica::{GroupAdmission, ReplicaId},
    replica_shell::{DiskFaultPolicy, PeerAddress, ReplicaOptions},
};
use crate::{
    key::DomainName,
    program::LogFormat,
    settings::{SettingsCheck, SettingsError},
};

/// The folder of the log within the data folder.
const LOG_FOLDER: &str = "replica";
/// The most other replicas of a group.
const MOST_PEERS: usize = 6;

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
    /// This replica's place in the group; no other replica has the same.
    #[serde(default = "first_replica")]
    pub replica: u8,
    /// The address that the other replicas connect to; needed with `peers`.
    #[serde(default)]
    pub link_listen: Option<SocketAddrV4>,
    /// The other replicas.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
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

const fn first_replica() -> u8 {
    1
}

impl ControlSettings {
    /// Returns what the replica of the log needs to start.
    pub(crate) fn replica_options(&self) -> ReplicaOptions {
        let peers = self.peers.iter().map(|peer| PeerAddress {
            replica: ReplicaId::new(peer.replica.into()),
            link: peer.link,
            calls: peer.calls,
        });
        ReplicaOptions {
            own: ReplicaId::new(self.replica.into()),
            listen: self.link_listen,
            peers: peers.collect(),
            ports: None,
            folder: self.data_folder.join(LOG_FOLDER),
            admission: GroupAdmission::Listed,
            disk_faults: DiskFaultPolicy::Stop,
        }
    }

    /// Returns the first place that two replicas have.
    fn doubled_place(&self) -> Option<u8> {
        let mut places = BTreeSet::from([self.replica]);
        let others = self.peers.iter().map(|peer| peer.replica);
        others.into_iter().find(|place| !places.insert(*place))
    }
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
        let out_of_range = |field, value, allowed| {
            Err(SettingsError::OutOfRange {
                path: path.to_owned(),
                field,
                value,
                allowed,
            })
        };
        if let Some(place) = self.doubled_place() {
            let value = place.to_string();
            return out_of_range("peers", value, "a place of its own for each replica");
        }
        if self.peers.len() > MOST_PEERS {
            let value = format!("{} replicas", self.peers.len());
            return out_of_range("peers", value, "at most 6 other replicas");
        }
        if !self.peers.is_empty() && self.link_listen.is_none() {
            let value = "absent".to_owned();
            return out_of_range("link_listen", value, "an address, since there are peers");
        }
        Ok(())
    }
}
