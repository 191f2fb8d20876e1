use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::{Path, PathBuf},
};

use tokio::sync::watch;

use super::{FleetError, FleetEvent, FleetSettings};
use crate::{
    control::{
        api::{CallRefusal, ReplicaRole},
        replica::{GroupAdmission, ReplicaId},
        replica_shell::{
            DiskFaultPolicy, PeerAddress, PeerPorts, ReplicaHandle, ReplicaOptions,
            ReplicatedState, RunningReplica, start_replica,
        },
    },
    event::log_event,
    listener::{ListenerStore, StoredManifest},
    secret::{DeploymentSecret, SecretEpoch, SecretStore},
};

/// The folder of the log within the data folder.
const LOG_FOLDER: &str = "log";

/// The control replica of a VM with a disk.
#[derive(Debug, Clone)]
pub(super) struct LocalReplica {
    store: ListenerStore,
    /// The replica, once its data folder is open.
    replica: watch::Receiver<Option<ReplicaHandle>>,
}

impl LocalReplica {
    /// Starts to open the data folder, which may take as long as the disk
    /// stalls. It must be called within the runtime.
    pub(super) fn start(
        settings: &FleetSettings,
        operator_port: u16,
        folder: &Path,
    ) -> Result<Self, FleetError> {
        let options = replica_options(settings, operator_port, folder.join(LOG_FOLDER));
        let secret = SecretStore::new(&network_secret())?;
        let store = ListenerStore::new();
        let (opened, replica) = watch::channel(None);
        let state = ReplicatedState::Listeners(store.clone());
        tokio::spawn(async move {
            match start_replica(options, state, secret).await {
                Ok(RunningReplica { handle, task }) => {
                    log_event!(info, FleetEvent::SeatOpened);
                    opened.send_replace(Some(handle));
                    if let Ok(error) = task.await {
                        log_event!(error, FleetEvent::SeatFailed, %error);
                    }
                    opened.send_replace(None);
                }
                Err(error) => log_event!(error, FleetEvent::SeatFailed, %error),
            }
        });
        Ok(Self { store, replica })
    }

    /// Returns the routes that this replica has applied.
    pub(super) fn store(&self) -> &ListenerStore {
        &self.store
    }

    /// Returns the members of the group, none while it is in no group.
    pub(super) fn members(&self) -> Vec<Ipv4Addr> {
        let Some(replica) = self.handle() else {
            return Vec::new();
        };
        let view = replica.view();
        if view.group.is_none() {
            return Vec::new();
        }
        let members = view.members.iter();
        members
            .map(|member| member.seat.replica.address())
            .collect()
    }

    /// Returns the leader that this replica hears, or is.
    pub(super) fn leader(&self) -> Option<Ipv4Addr> {
        let view = self.handle()?.view();
        match view.role {
            ReplicaRole::Leader => Some(view.seat.replica.address()),
            ReplicaRole::Follower | ReplicaRole::Learner => {
                view.leader.map(|seat| seat.replica.address())
            }
        }
    }

    /// Returns whether the routes applied here are as new as the leader's.
    pub(super) fn is_caught_up(&self) -> bool {
        self.handle()
            .is_some_and(|replica| replica.view().caught_up)
    }

    /// Names the places to ask for admission.
    pub(super) fn update_peers(&self, members: &[Ipv4Addr]) {
        if let Some(replica) = self.handle() {
            replica.meet_peers(members.iter().copied().map(ReplicaId::at).collect());
        }
    }

    /// Commits a manifest; one that is not newer than the one held is committed
    /// already.
    ///
    /// # Errors
    ///
    /// Refuses when it was not taken, or when its outcome is unknown.
    pub(super) async fn apply(&self, stored: &StoredManifest) -> Result<(), CallRefusal> {
        let held = self.store.current();
        if held.is_some_and(|held| held.manifest.version >= stored.manifest.version) {
            return Ok(());
        }
        let replica = self.handle().ok_or(CallRefusal::NoQuorum)?;
        // A manifest that can't be encoded was never sent anywhere.
        let command = stored.encode().map_err(|_| CallRefusal::NoQuorum)?;
        replica.propose(command).await.map(|_| ())
    }

    /// Confirms with a majority that the routes applied here are the newest.
    ///
    /// # Errors
    ///
    /// Refuses when no majority confirms it in time.
    pub(super) async fn confirm_read(&self) -> Result<(), CallRefusal> {
        let replica = self.handle().ok_or(CallRefusal::NoQuorum)?;
        replica.confirm_read().await.map(|_| ())
    }

    /// Has another replica lead before this one stops.
    pub(super) async fn step_aside(&self) {
        if let Some(replica) = self.handle() {
            replica.step_aside().await;
        }
    }

    fn handle(&self) -> Option<ReplicaHandle> {
        self.replica.borrow().clone()
    }
}

fn replica_options(
    settings: &FleetSettings,
    operator_port: u16,
    folder: PathBuf,
) -> ReplicaOptions {
    let seeds = settings.seeds.iter().map(|seed| *seed.ip());
    let is_seed = seeds.clone().any(|seed| seed == settings.address);
    let peers = seeds
        .filter(|seed| *seed != settings.address)
        .map(|seed| PeerAddress {
            replica: ReplicaId::at(seed),
            link: SocketAddrV4::new(seed, settings.ports.links),
            calls: SocketAddrV4::new(seed, operator_port),
        });
    ReplicaOptions {
        own: ReplicaId::at(settings.address),
        listen: Some(SocketAddrV4::new(
            settings.listen_address(),
            settings.ports.links,
        )),
        peers: peers.collect(),
        ports: Some(PeerPorts {
            link: settings.ports.links,
            calls: operator_port,
        }),
        folder,
        admission: GroupAdmission::Open {
            founds: settings.bootstrap && is_seed,
            least_voters: 2 * settings.tolerated_losses + 1,
        },
        disk_faults: DiskFaultPolicy::Retry,
    }
}

/// Returns the secret of deployments that hand out none: it keeps stray and
/// damaged frames off the links, and the network has to keep strangers off.
fn network_secret() -> DeploymentSecret {
    DeploymentSecret {
        active: 0,
        epochs: vec![SecretEpoch {
            epoch: 0,
            secret: vec![0x5a; 32],
        }],
    }
}
