use std::{
    net::SocketAddrV4,
    sync::{Mutex, MutexGuard, PoisonError},
};

use kameo::actor::ActorRef;

use super::{CallLimiter, check_announce};
use crate::{
    clock::ProcessClock,
    control::{
        api::{
            AnnounceReply, AnnounceRequest, ApplyReply, ApplyRequest, CallRefusal, ControlDump,
            ControlStatus, DumpedService, HeartbeatReply, HeartbeatRequest, WithdrawRequest,
        },
        feed::WatcherTable,
        lease::{CountLeases, LEASE_MILLIS, LeaseManager, RenewLease},
        state::{ControlCommand, ControlOutcome, ControlState},
        store::{ControlStore, LeaderView, ReadConfirmer, StateHandle},
    },
    key::FeedRevision,
    manifest::check_manifest,
};

/// The maximum number of watchers in a status.
const MAX_STATUS_WATCHERS: usize = 1_000;
/// The maximum number of services, and of targets, in a dump.
const MAX_DUMP_ENTRIES: usize = 1_000;

/// Implements the calls of one replica.
pub(crate) struct ControlService {
    pub(super) name: String,
    pub(super) address: SocketAddrV4,
    pub(super) state: StateHandle,
    pub(super) store: ControlStore,
    pub(super) confirmer: ReadConfirmer,
    pub(super) leases: ActorRef<LeaseManager>,
    pub(super) limiter: CallLimiter,
    pub(super) clock: ProcessClock,
    watchers: Mutex<WatcherTable>,
}

impl ControlService {
    /// Creates the service of the replica `name`; requires a Tokio runtime.
    pub(crate) fn new(
        name: String,
        address: SocketAddrV4,
        state: StateHandle,
        store: ControlStore,
    ) -> Self {
        let clock = ProcessClock::new();
        let manager = LeaseManager::new(state.clone(), clock);
        Self {
            name,
            address,
            confirmer: ReadConfirmer::start(store.clone()),
            leases: kameo::Actor::spawn(manager),
            state,
            store,
            limiter: CallLimiter::new(),
            clock,
            watchers: Mutex::new(WatcherTable::new()),
        }
    }

    /// Replaces the limits on concurrent calls.
    #[cfg(test)]
    pub(crate) fn with_limiter(mut self, limiter: CallLimiter) -> Self {
        self.limiter = limiter;
        self
    }

    /// Registers a target.
    pub(crate) async fn announce(
        &self,
        request: AnnounceRequest,
    ) -> Result<AnnounceReply, CallRefusal> {
        check_announce(&request)?;
        match self.propose(ControlCommand::Announce(request)).await? {
            ControlOutcome::Announced { service, revision } => Ok(AnnounceReply {
                service,
                lease: LEASE_MILLIS,
                revision,
            }),
            outcome => Err(refusal_from(outcome)),
        }
    }

    /// Deregisters a target; returns the first revision without it.
    pub(crate) async fn withdraw(
        &self,
        request: WithdrawRequest,
    ) -> Result<FeedRevision, CallRefusal> {
        match self.propose(ControlCommand::Withdraw(request)).await? {
            ControlOutcome::Withdrawn { revision } => Ok(revision),
            outcome => Err(refusal_from(outcome)),
        }
    }

    /// Renews a lease; only the leader tracks leases.
    pub(crate) async fn heartbeat(
        &self,
        request: HeartbeatRequest,
    ) -> Result<HeartbeatReply, CallRefusal> {
        if let LeaderView::Following { leader } = self.store.leader_view() {
            return Err(CallRefusal::NotLeader { leader });
        }
        let renewal = RenewLease {
            target: request.target,
            incarnation: request.incarnation,
        };
        let renewed = self.leases.ask(renewal).await;
        if renewed.map_err(|_| CallRefusal::NoQuorum)? {
            Ok(HeartbeatReply::Renewed { span: LEASE_MILLIS })
        } else {
            Ok(HeartbeatReply::Unknown)
        }
    }

    /// Puts a manifest in force.
    pub(crate) async fn apply(&self, request: ApplyRequest) -> Result<ApplyReply, CallRefusal> {
        check_manifest(&request.manifest).map_err(|faults| CallRefusal::InvalidManifest {
            faults: faults.iter().map(ToString::to_string).collect(),
        })?;
        match self
            .propose(ControlCommand::Apply(request.manifest))
            .await?
        {
            ControlOutcome::Applied(reply) => Ok(reply),
            outcome => Err(refusal_from(outcome)),
        }
    }

    /// Returns the group's status after confirming that the state is current.
    pub(crate) async fn status(&self) -> Result<ControlStatus, CallRefusal> {
        self.confirmer.confirm().await?;
        Ok(self.local_status())
    }

    /// Returns the state of this replica, which may be out of date.
    pub(crate) async fn dump(&self) -> ControlDump {
        let status = self.local_status();
        let count = self.leases.ask(CountLeases).await.unwrap_or_default();
        self.state.read(|replica| ControlDump {
            name: self.name.clone(),
            status,
            history_floor: replica.history().floor(),
            history_changes: replica.history().change_count(),
            leases: count.leases,
            lease_holds: count.holds,
            services: dump_services(replica.state()),
            targets: replica
                .state()
                .registrations()
                .targets()
                .take(MAX_DUMP_ENTRIES)
                .cloned()
                .collect(),
        })
    }

    /// Locks the table of watchers; the guard must be held only briefly.
    pub(super) fn watchers(&self) -> MutexGuard<'_, WatcherTable> {
        self.watchers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn propose(&self, command: ControlCommand) -> Result<ControlOutcome, CallRefusal> {
        self.store.wait_for_leader().await;
        if let LeaderView::Following { leader } = self.store.leader_view() {
            return Err(CallRefusal::NotLeader { leader });
        }
        self.store.propose(&command).await
    }

    fn local_status(&self) -> ControlStatus {
        let now = self.clock.now();
        let (watcher_count, watchers) = {
            let table = self.watchers();
            (table.len(), table.laggards(MAX_STATUS_WATCHERS, now))
        };
        let replicas = self.store.replicas(self.address);
        self.state.read(|replica| {
            let state = replica.state();
            let in_force = state.manifest().in_force();
            ControlStatus {
                revision: state.revision(),
                manifest_version: state.manifest().version(),
                manifest_digest: in_force.map(|accepted| accepted.digest),
                manifest_revision: in_force
                    .map_or(FeedRevision::EMPTY, |accepted| accepted.revision),
                services: state.manifest().service_count(),
                targets: state.registrations().targets().len(),
                replicas,
                watcher_count,
                watchers,
            }
        })
    }
}

fn dump_services(state: &ControlState) -> Vec<DumpedService> {
    let services = state.manifest().services().take(MAX_DUMP_ENTRIES);
    services
        .map(|service| DumpedService {
            number: service.number,
            targets: state.registrations().members(service.number).count(),
            spec: service.spec,
        })
        .collect()
}

/// Returns the refusal for an outcome other than the expected one.
fn refusal_from(outcome: ControlOutcome) -> CallRefusal {
    match outcome {
        ControlOutcome::Refused(refusal) => refusal,
        ControlOutcome::Applied(_)
        | ControlOutcome::Announced { .. }
        | ControlOutcome::Withdrawn { .. }
        | ControlOutcome::Expired { .. }
        | ControlOutcome::Undecodable => CallRefusal::OutcomeUnknown,
    }
}
