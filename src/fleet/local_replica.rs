use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::Path,
};

use tokio::sync::watch;

use super::{FleetError, FleetEvent, FleetSettings};
use crate::{
    control::{
        api::CallRefusal,
        formation::GroupProposal,
        replica::{GroupAdmission, MemberId, ReplicaId},
        replica_shell::{
            DiskFaultPolicy, PeerAddress, PeerPorts, ReplicaHandle, ReplicaOptions, ReplicaStorage,
            ReplicatedState, RunningReplica, start_replica,
        },
    },
    event::log_event,
    listener::{EvacuationOrder, ListenerStore, StoredManifest},
    secret::{DeploymentSecret, SecretEpoch, SecretStore},
};

/// The folder of the log within the data folder.
const LOG_FOLDER: &str = "log";

/// The control replica of this process: on a VM with a disk, or on any seed if no VM had
/// one at the first start.
#[derive(Debug, Clone)]
pub(super) struct LocalReplica {
    store: ListenerStore,
    /// The replica, once its data folder is open.
    handle: watch::Receiver<Option<ReplicaHandle>>,
}

impl LocalReplica {
    /// Starts the replica; its data folder is opened in the background, since the
    /// disk may stall. It must be called within the runtime.
    pub(super) fn start(
        settings: &FleetSettings,
        operator_port: u16,
        storage: ReplicaStorage,
    ) -> Result<Self, FleetError> {
        let options = replica_options(settings, operator_port, storage);
        let secret = SecretStore::new(&default_secret())?;
        let store = ListenerStore::new();
        let (handle_sender, handle) = watch::channel(None);
        let state = ReplicatedState::Listeners(store.clone());
        tokio::spawn(async move {
            match start_replica(options, state, secret).await {
                Ok(RunningReplica { handle, task }) => {
                    log_event!(info, FleetEvent::SeatOpened);
                    handle_sender.send_replace(Some(handle));
                    if let Ok(error) = task.await {
                        log_event!(error, FleetEvent::SeatFailed, %error);
                    }
                    handle_sender.send_replace(None);
                }
                Err(error) => log_event!(error, FleetEvent::SeatFailed, %error),
            }
        });
        Ok(Self { store, handle })
    }

    /// Returns the storage of a replica with this data folder.
    pub(super) fn storage_in(folder: &Path) -> ReplicaStorage {
        ReplicaStorage::Folder(folder.join(LOG_FOLDER))
    }

    /// Returns the member that this replica would found a group as; `None` if it is in
    /// one or its data folder is not open yet.
    pub(super) fn founder(&self) -> Option<MemberId> {
        let view = self.handle()?.view();
        view.group.is_none().then_some(view.member_id)
    }

    /// Forms the group that the seeds have agreed on, if this replica is a founder.
    pub(super) fn form_group(&self, proposal: &GroupProposal) {
        if let Some(handle) = self.handle() {
            handle.form_group(proposal.clone());
        }
    }

    /// Returns the routes that this replica has applied.
    pub(super) fn store(&self) -> &ListenerStore {
        &self.store
    }

    /// Returns the members of the group; empty while the replica is in no group.
    pub(super) fn members(&self) -> Vec<Ipv4Addr> {
        let Some(handle) = self.handle() else {
            return Vec::new();
        };
        let view = handle.view();
        if view.group.is_none() {
            return Vec::new();
        }
        let members = view.members.iter();
        members.map(|member| member.id.replica.address()).collect()
    }

    /// Returns the leader to send callers to, this replica or another one.
    pub(super) fn leader(&self) -> Option<Ipv4Addr> {
        let leader = self.handle()?.view().trusted_leader;
        leader.map(|member_id| member_id.replica.address())
    }

    /// Waits until the leader to send callers to is another one than `known`.
    pub(super) async fn leader_changed(&self, known: Option<Ipv4Addr>) {
        let Some(mut leader) = self.handle().map(|handle| handle.subscribe_leader()) else {
            return std::future::pending().await;
        };
        let is_other = |leader: &Option<ReplicaId>| leader.map(ReplicaId::address) != known;
        if leader.wait_for(is_other).await.is_err() {
            // The replica has failed and elects no leader any more.
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether this replica hears a leader and misses nothing accepted by
    /// earlier leaders.
    pub(super) fn is_caught_up(&self) -> bool {
        self.handle().is_some_and(|handle| handle.view().caught_up)
    }

    /// Sets the replicas to ask for admission to the group.
    pub(super) fn update_peers(&self, members: &[Ipv4Addr]) {
        if let Some(handle) = self.handle() {
            handle.update_peers(members.iter().copied().map(ReplicaId::at).collect());
        }
    }

    /// Commits a manifest; one that is no newer than the applied one counts as
    /// committed.
    ///
    /// # Errors
    ///
    /// Refuses when it was not accepted, or when its outcome is unknown.
    pub(super) async fn apply(&self, stored: &StoredManifest) -> Result<(), CallRefusal> {
        let applied = self.store.current();
        if applied.is_some_and(|applied| applied.manifest.version >= stored.manifest.version) {
            return Ok(());
        }
        let handle = self.handle().ok_or(CallRefusal::NoQuorum)?;
        handle.wait_for_leader().await;
        // If the manifest can't be encoded, nothing was proposed.
        let command = stored.encode().map_err(|_| CallRefusal::NoQuorum)?;
        handle.propose(command).await.map(|_| ())
    }

    /// Commits an order about a failure domain; returns whether it is in force, which
    /// it is not if too many domains are evacuated. It is proposed even if it changes
    /// nothing here, since this replica may be behind.
    ///
    /// # Errors
    ///
    /// Refuses when it was not accepted, or when its outcome is unknown.
    pub(super) async fn order(&self, order: &EvacuationOrder) -> Result<bool, CallRefusal> {
        let handle = self.handle().ok_or(CallRefusal::NoQuorum)?;
        handle.wait_for_leader().await;
        // If the order can't be encoded, nothing was proposed.
        let command = order.encode().map_err(|_| CallRefusal::NoQuorum)?;
        let outcome = handle.propose(command).await?;
        Ok(!ListenerStore::is_refused_outcome(&outcome))
    }

    /// Confirms with a majority that the routes applied here are the newest.
    ///
    /// # Errors
    ///
    /// Refuses when no majority confirms it in time.
    pub(super) async fn confirm_read(&self) -> Result<(), CallRefusal> {
        let handle = self.handle().ok_or(CallRefusal::NoQuorum)?;
        handle.confirm_read().await
    }

    /// Announces that this replica stops, and transfers its leadership if another one can
    /// take over in time.
    pub(super) async fn prepare_stop(&self) {
        if let Some(handle) = self.handle() {
            handle.prepare_stop().await;
        }
    }

    fn handle(&self) -> Option<ReplicaHandle> {
        self.handle.borrow().clone()
    }
}

fn replica_options(
    settings: &FleetSettings,
    operator_port: u16,
    storage: ReplicaStorage,
) -> ReplicaOptions {
    let seeds = settings.seeds.iter().map(|seed| *seed.ip());
    let peers = seeds
        .filter(|seed| *seed != settings.address)
        .map(|seed| PeerAddress {
            replica: ReplicaId::at(seed),
            link_address: SocketAddrV4::new(seed, settings.ports.links),
            call_address: SocketAddrV4::new(seed, operator_port),
        });
    ReplicaOptions {
        own: ReplicaId::at(settings.address),
        listen: Some(SocketAddrV4::new(
            settings.listen_address(),
            settings.ports.links,
        )),
        peers: peers.collect(),
        ports: Some(PeerPorts {
            link_port: settings.ports.links,
            call_port: operator_port,
        }),
        storage,
        admission: GroupAdmission::Open {
            min_voters: settings
                .tolerated_losses
                .saturating_mul(2)
                .saturating_add(1),
        },
        disk_fault_policy: DiskFaultPolicy::Retry,
    }
}

/// Returns the fixed secret of deployments without one of their own. It only
/// rejects stray and damaged frames; the network has to keep untrusted senders
/// off the links.
fn default_secret() -> DeploymentSecret {
    DeploymentSecret {
        active: 0,
        epochs: vec![SecretEpoch {
            epoch: 0,
            secret: vec![0x5a; 32],
        }],
    }
}
