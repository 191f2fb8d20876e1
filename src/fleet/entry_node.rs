use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::{Arc, OnceLock, atomic::AtomicBool},
    time::Duration,
};

use tokio::{
    net::UdpSocket,
    signal::unix::{Signal, SignalKind, signal},
    sync::mpsc,
    time::{Instant, sleep_until},
};

use super::{
    EntryHandle, FleetError, FleetEvent, FleetSettings, SettingsSource,
    entry_formation::EntryFormation,
    entry_journal::JournalFile,
    entry_sockets::{FleetSocket, open_socket},
    fleet_counters::EntryCounters,
    formation_file::FormationProgress,
    group_view::GroupView,
    hint_file::{HintEvents, HintFile},
    inspect_server::start_inspections,
    local_replica::LocalReplica,
    log_limiter::LogLimiter,
    restart_notifier::{KnownProcesses, RestartNotifier},
    watch_client::{WatchClient, WatchUpdate},
    watch_frame::WatchReply,
    watch_server::{SharedDirectory, WatchServer},
};
use crate::{
    clock::{ClockMillis, ProcessClock, SpanMillis},
    directory::{DirectoryPosition, TargetDirectory, TargetView},
    event::log_event,
    flow::{BalancerFlows, PacketCodec},
    listener::ListenerTable,
};

/// The name of the file of running processes within the data folder.
const PROCESS_FILE_NAME: &str = "processes";
const PROCESS_FILE_EVENTS: HintEvents = HintEvents {
    unread: FleetEvent::AgentsUnread,
    unwritten: FleetEvent::AgentsUnwritten,
};
/// The largest packet with its header, in bytes.
pub(super) const MAX_PACKET_BYTES: usize = 2_048;
/// The most packets handled before other work gets its turn.
pub(super) const PACKETS_PER_TURN: usize = 64;
/// How often maintenance runs: expiry, discovery, sweeps.
pub(super) const MAINTENANCE_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(250);
/// How often maintenance runs while no caught-up replica answers: all VMs may
/// have just started together.
pub(super) const DISCOVERY_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(50);
/// How often the seeds are reread while no caught-up replica answers.
pub(super) const SEEDS_REREAD_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// How often a balancer contacts every replica, so that each of them can recall it
/// after a restart.
pub(super) const CONTACT_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// The most silent balancers that a replica recalls in one run of its maintenance.
pub(super) const RECALLS_PER_TURN: usize = 3;
/// How often a balancer tells a seed of the control group.
pub(super) const SEED_NOTICE_MILLIS: SpanMillis = SpanMillis::new(3_000);
/// What each known target adds to that interval, so that the seeds of a large deployment
/// get no more notices than those of a small one.
pub(super) const SEED_NOTICE_MILLIS_PER_TARGET: SpanMillis = SpanMillis::new(10);
/// How long a stopping process still forwards packets: the network stops sending
/// after two missed probes at two a second, and packets may be on their way.
pub(super) const STOP_DELAY_MILLIS: SpanMillis = SpanMillis::new(1_300);
/// How long routes count as current after the last reply of a caught-up replica.
pub(super) const MAX_CONTROL_AGE_MILLIS: SpanMillis = SpanMillis::new(1_500);
/// The capacity of the queue of watch updates.
pub(super) const UPDATE_QUEUE_CAPACITY: usize = 16;

/// The process on an entry VM: a balancer, and on VMs with a disk a control
/// replica.
#[derive(Debug)]
pub struct EntryNode {
    pub(super) settings: FleetSettings,
    pub(super) codec: Arc<dyn PacketCodec>,
    pub(super) settings_source: Arc<dyn SettingsSource>,
    pub(super) clock: ProcessClock,
    pub(super) operator_port: u16,
    pub(super) packet_socket: UdpSocket,
    pub(super) fleet_socket: FleetSocket,
    pub(super) group: GroupView,
    /// The replica, which starts later on a VM without a disk.
    pub(super) replica: Arc<OnceLock<LocalReplica>>,
    pub(super) formation: EntryFormation,
    pub(super) directory: Option<SharedDirectory>,
    /// Which processes run, for the first second after a restart.
    pub(super) process_file: Option<HintFile<KnownProcesses>>,
    /// The long flows of all targets, if this process is a replica.
    pub(super) journal_file: Option<JournalFile>,
    pub(super) restart_notifier: RestartNotifier,
    pub(super) flows: BalancerFlows,
    pub(super) view: TargetView,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) stopping: bool,
    /// When a caught-up replica last answered.
    pub(super) control_heard_at: Option<ClockMillis>,
    /// The replica whose directory was last applied, and how far.
    pub(super) directory_source: Option<(Ipv4Addr, DirectoryPosition)>,
    /// Whether the watched replica failed and none has answered since.
    pub(super) control_lost: bool,
    pub(super) maintenance_at: ClockMillis,
    pub(super) seeds_reread_at: ClockMillis,
    pub(super) contact_at: ClockMillis,
    pub(super) seed_notice_at: ClockMillis,
    /// Whether all seeds have been told of the control group since this process found it.
    pub(super) seeds_notified: bool,
    /// The notices sent, which select the next seed.
    pub(super) seed_notices: usize,
    pub(super) log_limiter: LogLimiter,
    pub(super) counters: EntryCounters,
    pub(super) frame_buffer: Vec<u8>,
}

impl EntryNode {
    /// Opens the sockets and starts the replica, if the VM has a disk; it must
    /// be called within the runtime. `operator_port` is where replicas answer
    /// operators.
    ///
    /// # Errors
    ///
    /// Fails when a socket can't be bound or the replica can't be set up.
    pub async fn start(
        settings: FleetSettings,
        operator_port: u16,
        codec: Arc<dyn PacketCodec>,
        settings_source: Arc<dyn SettingsSource>,
    ) -> Result<(Self, EntryHandle), FleetError> {
        let clock = ProcessClock::new();
        let group = GroupView::new(settings.seeds.clone());
        let packet_socket = open_socket(settings.packet_address, "packets of callers")?;
        let fleet_socket = FleetSocket::open(settings.listen_address(), settings.ports.datagrams)?;
        let replica = Arc::new(OnceLock::new());
        let mut process_file = None;
        let mut journal_file = None;
        let mut directory = None;
        if let Some(folder) = &settings.data_folder {
            let path = folder.join(PROCESS_FILE_NAME);
            process_file = Some(HintFile::open(path, PROCESS_FILE_EVENTS));
            journal_file = Some(JournalFile::open(folder, clock.now()));
            let storage = LocalReplica::storage_in(folder);
            let local = LocalReplica::start(&settings, operator_port, storage)?;
            let shared = SharedDirectory::new(TargetDirectory::new(rand::random(), clock.now()));
            let server = WatchServer::new(local.clone(), shared.clone(), clock);
            server.start(settings.watch_address()).await?;
            directory = Some(shared);
            let _ = replica.set(local);
        }
        let ready = Arc::new(AtomicBool::new(false));
        let handle = EntryHandle::new(
            Arc::clone(&replica),
            group.clone(),
            operator_port,
            Arc::clone(&ready),
            settings.domains.clone(),
        );
        let table = ListenerTable::new(settings.max_flow_age);
        let mut flows = BalancerFlows::new(settings.address, table, settings.max_flow_age);
        if let Some(rate) = settings.link_rate {
            flows = flows.with_link(rate);
        }
        let node = Self {
            flows,
            codec,
            settings_source,
            clock,
            packet_socket,
            fleet_socket,
            formation: EntryFormation::open(&settings, clock.now()),
            operator_port,
            group,
            replica,
            directory,
            process_file,
            journal_file,
            restart_notifier: RestartNotifier::default(),
            view: TargetView::default(),
            ready,
            stopping: false,
            control_heard_at: None,
            directory_source: None,
            control_lost: false,
            maintenance_at: clock.now(),
            seeds_reread_at: clock.now().after(SEEDS_REREAD_MILLIS),
            contact_at: clock.now(),
            seed_notice_at: clock.now().after(SEED_NOTICE_MILLIS),
            seeds_notified: false,
            seed_notices: rand::random::<u8>().into(),
            log_limiter: LogLimiter::default(),
            counters: EntryCounters::default(),
            frame_buffer: Vec::with_capacity(MAX_PACKET_BYTES),
            settings,
        };
        Ok((node, handle))
    }

    /// Forwards packets until a stop signal and the orderly shutdown after it.
    ///
    /// # Errors
    ///
    /// Fails when signal handlers can't be installed or the socket for
    /// inspections can't be bound.
    pub async fn run(mut self) -> Result<(), FleetError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(FleetError::Signals)?;
        let mut hangup = signal(SignalKind::hangup()).map_err(FleetError::Signals)?;
        let (sender, mut updates) = mpsc::channel(UPDATE_QUEUE_CAPACITY);
        let watch = WatchClient::new(
            self.settings.address,
            self.settings.ports.watch,
            self.group.clone(),
            sender,
        );
        tokio::spawn(watch.run());
        if let Some(directory) = &self.directory {
            self.copy_directory(directory.clone());
        }
        let mut formation_progress = self.formation.take_progress();
        let inspect = SocketAddrV4::new(
            self.settings.listen_address(),
            self.settings.ports.inspections,
        );
        let mut inspections = start_inspections(inspect).await?;
        log_event!(
            info,
            FleetEvent::EntryStarted,
            name = self.settings.name,
            address = %self.settings.address,
            domain = self.settings.domain,
            replica = self.replica.get().is_some()
        );
        let mut stop_at: Option<Instant> = None;
        loop {
            let next_work_at = self.next_work_at();
            tokio::select! {
                _ = self.packet_socket.readable() => self.receive_packets(),
                _ = self.fleet_socket.readable() => self.receive_datagrams(),
                Some(update) = updates.recv() => self.handle_update(update),
                Some(inspection) = inspections.recv() => self.answer_inspection(inspection),
                Some(progress) = next_progress(&mut formation_progress) => {
                    self.handle_formation_progress(progress);
                }
                () = sleep_until(next_work_at) => self.run_due_work(),
                () = wait_for_signal(&mut terminate), if stop_at.is_none() => {
                    stop_at = Some(self.begin_stop());
                }
                () = wait_for_signal(&mut hangup) => self.reread_seeds(),
                () = sleep_until(stop_at.unwrap_or(next_work_at)), if stop_at.is_some() => break,
            }
        }
        log_event!(
            info,
            FleetEvent::EntryStopped,
            flows = self.flows.cached_owners()
        );
        Ok(())
    }

    fn begin_stop(&mut self) -> Instant {
        log_event!(info, FleetEvent::StopBegun);
        self.stopping = true;
        self.update_ready();
        if let Some(replica) = self.replica.get().cloned() {
            tokio::spawn(async move { replica.prepare_stop().await });
        }
        let longest = self.settings.grace.saturating_sub(SpanMillis::new(1_500));
        Instant::now() + STOP_DELAY_MILLIS.min(longest).duration()
    }

    /// Returns when the next timed work is due.
    fn next_work_at(&self) -> Instant {
        let now = self.clock.now();
        let due = [self.flows.next_due(), self.view.weights_due_at()];
        let next = due
            .into_iter()
            .flatten()
            .fold(self.maintenance_at, ClockMillis::min);
        Instant::now() + next.since(now).duration().max(Duration::from_millis(1))
    }

    fn handle_update(&mut self, update: WatchUpdate) {
        match update {
            WatchUpdate::Reply { replica, reply } => self.apply_reply(*reply, replica),
            WatchUpdate::Lost { replica, cause } => {
                self.group.forget_replica(replica);
                self.control_lost = true;
                self.update_ready();
                log_event!(warn, FleetEvent::CoreLost, %replica, %cause);
            }
        }
    }

    fn apply_reply(&mut self, reply: WatchReply, replica: Ipv4Addr) {
        let now = self.clock.now();
        let could_reset = self.flows.can_reset_flows();
        let mut learned = false;
        self.control_lost = false;
        if reply.caught_up {
            self.control_heard_at = Some(now);
            self.flows.set_current(true);
        }
        self.group.set_leader(reply.leader, replica);
        if self.group.update_members(reply.members) {
            log_event!(info, FleetEvent::CoreFound, members = ?self.group.members());
        }
        if let Some(routes) = reply.routes
            && self.flows.table_mut().replace(&routes, now)
        {
            log_event!(
                info,
                FleetEvent::RoutesInForce,
                version = routes.version,
                routes = routes.routes.len()
            );
            learned = true;
        }
        if let Some(targets) = reply.targets {
            self.directory_source = Some((replica, targets.position));
            let evacuations_before = self.view.evacuated().revision;
            for record in self.view.apply_update(targets) {
                learned = true;
                if self.log_limiter.allows(FleetEvent::TargetChanged, now) {
                    log_event!(info, FleetEvent::TargetChanged, agent = %record.agent, service = %record.service, standing = ?record.status);
                }
            }
            let revision = self.view.evacuated().revision;
            if revision != evacuations_before {
                log_event!(info, FleetEvent::EvacuationsInForce, revision, domains = ?self.evacuated_domains());
            }
            self.update_targets(now);
        }
        self.update_ready();
        if learned || self.flows.can_reset_flows() != could_reset {
            self.retry_parked();
        }
    }
}

/// Waits for the next result of the formation's file; never returns without a file.
async fn next_progress(
    results: &mut Option<mpsc::UnboundedReceiver<FormationProgress>>,
) -> Option<FormationProgress> {
    match results {
        Some(results) => results.recv().await,
        None => std::future::pending().await,
    }
}

/// Waits for a signal; never returns if the signal stream is closed.
pub(super) async fn wait_for_signal(signals: &mut Signal) {
    if signals.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}
