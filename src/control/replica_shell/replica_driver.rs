use std::{
    collections::{BTreeMap, HashMap, btree_map::Entry},
    net::SocketAddrV4,
    sync::Arc,
};

use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
    time::{MissedTickBehavior, interval},
};

use super::{
    PeerPorts, ReplicaHandle, ReplicaOptions, ReplicaShellError, ReplicaStorage, ReplicatedState,
    disk_writer::{DiskWriter, SyncResult},
    replica_handle::{ProposalAnswer, ReadAnswer, ReplicaCommand, overloaded, too_large},
    report_log::log_report,
};
use crate::{
    clock::ProcessClock,
    control::{
        ControlEvent,
        api::CallRefusal,
        replica::{
            EntryPayload, LogIndex, PeerMessage, ProposalKey, ProposalOutcome, ReadKey,
            ReadOutcome, ReplicaAction, ReplicaCore, ReplicaEvent, ReplicaId, ReplicaView,
            TICK_MILLIS,
        },
        replica_link::{LinkListener, LinkSender},
    },
    event::log_event,
    secret::SecretStore,
};

/// Most commands from calls that wait for the driver.
const MAX_QUEUED_COMMANDS: usize = 8_192;
/// Most reports of refused connections that wait for the driver.
const MAX_QUEUED_REFUSALS: usize = 64;
/// Most messages from other replicas that wait for the driver.
const MAX_QUEUED_MESSAGES: usize = 64;

/// A running replica; its task ends only with an error.
#[derive(Debug)]
pub(crate) struct RunningReplica {
    /// Sends commands to the replica.
    pub(crate) handle: ReplicaHandle,
    /// The driver's task.
    pub(crate) task: JoinHandle<ReplicaShellError>,
}

/// Opens the data folder and starts the replica.
///
/// # Errors
///
/// Fails when the folder is damaged or in use, or when the address for peer
/// connections can't be bound.
pub(crate) async fn start_replica(
    options: ReplicaOptions,
    state: ReplicatedState,
    secret: SecretStore,
) -> Result<RunningReplica, ReplicaShellError> {
    let (disk, reports) = match &options.storage {
        ReplicaStorage::Folder(folder) => {
            DiskWriter::start(folder.clone(), options.disk_fault_policy)
                .map_err(ReplicaShellError::Thread)?
        }
        ReplicaStorage::Memory(disk) => DiskWriter::in_memory(*disk),
    };
    let recovered = reports
        .opened
        .await
        .map_err(|_| ReplicaShellError::Ended)??;
    let clock = ProcessClock::new();
    let core = ReplicaCore::new(
        options.replica_peers(),
        recovered,
        rand::random(),
        clock.now(),
    );
    let (inbox, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
    if let Some(address) = options.listen {
        let listener = LinkListener::bind(address).await?;
        log_event!(info, ControlEvent::LinkListening, address = %listener.address());
        tokio::spawn(listener.run(inbox.clone(), secret.clone()));
    }
    let (refusals, refused_peers) = mpsc::channel(MAX_QUEUED_REFUSALS);
    let links = options.peers.iter().map(|peer| {
        let (secret, refusals) = (secret.clone(), refusals.clone());
        let sender = LinkSender::start(peer.replica, peer.link_address, secret, refusals);
        (peer.replica, sender)
    });
    let call_addresses = options
        .peers
        .iter()
        .map(|peer| (peer.replica, peer.call_address));
    let (commands, queue) = mpsc::channel(MAX_QUEUED_COMMANDS);
    let (view_sender, view) = watch::channel(core.view(clock.now()));
    let (leader_sender, leader) = watch::channel(None);
    let handle = ReplicaHandle {
        commands,
        view,
        leader,
        call_addresses: Arc::new(call_addresses.collect()),
        ports: options.ports,
    };
    let driver = ReplicaDriver {
        core,
        state,
        disk,
        links: links.collect(),
        refusals,
        secret: secret.clone(),
        ports: options.ports,
        handle: handle.clone(),
        view_sender,
        leader_sender,
        clock,
        last_key: 0,
        proposals: HashMap::new(),
        reads: HashMap::new(),
    };
    let inputs = DriverInputs {
        commands: queue,
        messages,
        refused_peers,
        synced: reports.synced,
        _inbox: inbox,
    };
    let task = tokio::spawn(driver.run(inputs));
    Ok(RunningReplica { handle, task })
}

/// The channels that the driver receives from.
struct DriverInputs {
    commands: mpsc::Receiver<ReplicaCommand>,
    messages: mpsc::Receiver<PeerMessage>,
    refused_peers: mpsc::Receiver<ReplicaId>,
    synced: mpsc::UnboundedReceiver<SyncResult>,
    /// Keeps `messages` open in a group of one.
    _inbox: mpsc::Sender<PeerMessage>,
}

/// Feeds events to the core and executes its actions.
struct ReplicaDriver {
    core: ReplicaCore,
    state: ReplicatedState,
    disk: DiskWriter,
    secret: SecretStore,
    ports: Option<PeerPorts>,
    links: BTreeMap<ReplicaId, LinkSender>,
    /// For the links; they report refused connections.
    refusals: mpsc::Sender<ReplicaId>,
    handle: ReplicaHandle,
    view_sender: watch::Sender<ReplicaView>,
    leader_sender: watch::Sender<Option<ReplicaId>>,
    clock: ProcessClock,
    last_key: u64,
    proposals: HashMap<ProposalKey, oneshot::Sender<ProposalAnswer>>,
    reads: HashMap<ReadKey, oneshot::Sender<ReadAnswer>>,
}

impl ReplicaDriver {
    async fn run(mut self, mut inputs: DriverInputs) -> ReplicaShellError {
        let mut ticks = interval(TICK_MILLIS.duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => ReplicaEvent::Tick,
                Some(message) = inputs.messages.recv() => ReplicaEvent::MessageReceived(message),
                Some(replica) = inputs.refused_peers.recv() => ReplicaEvent::PeerRefused(replica),
                Some(result) = inputs.synced.recv() => match result {
                    Ok(token) => ReplicaEvent::Synced { token },
                    Err(error) => return error.into(),
                },
                Some(command) = inputs.commands.recv() => self.register_command(command),
                else => return ReplicaShellError::Ended,
            };
            let is_tick = matches!(event, ReplicaEvent::Tick);
            if let Err(error) = self.handle(event) {
                return error;
            }
            self.publish(is_tick);
        }
    }

    /// Registers the receiver of a command's answer; returns the event for the core.
    fn register_command(&mut self, command: ReplicaCommand) -> ReplicaEvent {
        self.last_key += 1;
        match command {
            ReplicaCommand::Propose { payload, answer } => {
                let key = ProposalKey(self.last_key);
                self.proposals.insert(key, answer);
                ReplicaEvent::Proposed { key, payload }
            }
            ReplicaCommand::AnnounceStop => ReplicaEvent::StopAnnounced,
            ReplicaCommand::TransferLeadership => ReplicaEvent::LeadershipTransferRequested,
            ReplicaCommand::UpdatePeers { replicas } => {
                let members = self.core.view(self.clock.now()).members;
                let member_replicas = members.iter().map(|member| member.id.replica);
                let needed: Vec<ReplicaId> =
                    member_replicas.chain(replicas.iter().copied()).collect();
                self.prune_links(&needed);
                ReplicaEvent::PeersDiscovered(replicas)
            }
            ReplicaCommand::FormGroup { proposal } => ReplicaEvent::GroupAgreed(proposal),
            ReplicaCommand::Read { answer } => {
                let key = ReadKey(self.last_key);
                self.reads.insert(key, answer);
                ReplicaEvent::ReadRequested { key }
            }
        }
    }

    fn handle(&mut self, event: ReplicaEvent) -> Result<(), ReplicaShellError> {
        let actions = self.core.handle(event, self.clock.now());
        let mut outcomes = BTreeMap::new();
        for action in actions {
            self.execute(action, &mut outcomes)?;
        }
        Ok(())
    }

    /// Executes an action; `outcomes` collects the outcomes of applied changes for
    /// the answers that follow them.
    fn execute(
        &mut self,
        action: ReplicaAction,
        outcomes: &mut BTreeMap<LogIndex, Vec<u8>>,
    ) -> Result<(), ReplicaShellError> {
        match action {
            ReplicaAction::Send { to, message } => {
                if let Some(link) = self.link(to) {
                    link.send(message);
                }
            }
            ReplicaAction::Persist(batch) => self.disk.write(batch),
            ReplicaAction::Apply { index, payload } => {
                outcomes.insert(index, self.state.apply(payload.bytes()));
            }
            ReplicaAction::Restore { payload } => self.state.restore(payload.bytes())?,
            ReplicaAction::TakeSnapshot { index } => {
                let payload = EntryPayload::new(self.state.snapshot()?);
                self.handle(ReplicaEvent::SnapshotTaken { index, payload })?;
            }
            ReplicaAction::AnswerProposal { key, outcome } => {
                self.answer_proposal(key, outcome, outcomes);
            }
            ReplicaAction::AnswerRead { key, outcome } => self.answer_read(key, outcome),
            ReplicaAction::Report(report) => log_report(report),
        }
        Ok(())
    }

    /// Returns the link to a replica. A replica that is not listed is connected to at
    /// the address in its identifier, if the ports are known.
    fn link(&mut self, to: ReplicaId) -> Option<&LinkSender> {
        if let (Entry::Vacant(entry), Some(ports)) = (self.links.entry(to), self.ports) {
            let address = SocketAddrV4::new(to.address(), ports.link_port);
            let (secret, refusals) = (self.secret.clone(), self.refusals.clone());
            entry.insert(LinkSender::start(to, address, secret, refusals));
        }
        self.links.get(&to)
    }

    /// Drops the links that are not needed: to replicas that are neither members nor
    /// to be asked for admission.
    fn prune_links(&mut self, needed: &[ReplicaId]) {
        if self.ports.is_some() {
            self.links.retain(|replica, _| needed.contains(replica));
        }
    }

    fn answer_proposal(
        &mut self,
        key: ProposalKey,
        outcome: ProposalOutcome,
        outcomes: &mut BTreeMap<LogIndex, Vec<u8>>,
    ) {
        let Some(answer) = self.proposals.remove(&key) else {
            return;
        };
        let result = match outcome {
            ProposalOutcome::Committed { index } => {
                outcomes.remove(&index).ok_or(CallRefusal::OutcomeUnknown)
            }
            ProposalOutcome::OutcomeUnknown => Err(CallRefusal::OutcomeUnknown),
            ProposalOutcome::NotLeader { leader } => Err(CallRefusal::NotLeader {
                leader: self.handle.call_address(leader),
            }),
            ProposalOutcome::NoQuorum => Err(CallRefusal::NoQuorum),
            ProposalOutcome::Overloaded => Err(overloaded()),
            ProposalOutcome::TooLarge => Err(too_large()),
        };
        // The caller may have gone away.
        let _ = answer.send(result);
    }

    fn answer_read(&mut self, key: ReadKey, outcome: ReadOutcome) {
        let Some(answer) = self.reads.remove(&key) else {
            return;
        };
        let result = match outcome {
            ReadOutcome::Confirmed { .. } => Ok(()),
            ReadOutcome::Refused => Err(CallRefusal::NoQuorum),
            ReadOutcome::Overloaded => Err(overloaded()),
        };
        // The caller may have gone away.
        let _ = answer.send(result);
    }

    /// Publishes the replica's view on every tick, and at once when its role, term or
    /// leader changes.
    fn publish(&self, is_tick: bool) {
        let view = self.core.view(self.clock.now());
        let leader = view.trusted_leader.map(|member_id| member_id.replica);
        self.leader_sender.send_if_modified(|published| {
            let is_changed = *published != leader;
            *published = leader;
            is_changed
        });
        self.view_sender.send_if_modified(|published| {
            let is_unchanged = published.role == view.role
                && published.term == view.term
                && published.leader == view.leader
                && published.trusted_leader == view.trusted_leader;
            if is_unchanged && !is_tick {
                return false;
            }
            *published = view;
            true
        });
    }
}
