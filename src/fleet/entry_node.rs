use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{Arc, atomic::AtomicBool},
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
    control_seat::ControlSeat,
    core_view::CoreView,
    directory_file::DirectoryFile,
    entry_sockets::{FleetSocket, open_socket},
    fleet_counters::EntryCounters,
    fleet_datagram::{FleetDatagram, MAX_DATAGRAM_BYTES},
    inspect_server::start_inspections,
    log_budget::LogBudget,
    process_recall::ProcessRecall,
    watch_client::{WatchClient, WatchUpdate},
    watch_frame::WatchNews,
    watch_server::{SharedDirectory, WatchServer},
};
use crate::{
    clock::{ClockMillis, ProcessClock, SpanMillis},
    directory::{TargetDirectory, TargetView},
    event::log_event,
    flow::{BalancerFlows, PacketCodec},
    listener::ListenerTable,
};

/// The largest packet with its header.
pub(super) const MAX_PACKET_BYTES: usize = 2_048;
/// The packets that are taken before other work gets its turn.
pub(super) const PACKETS_A_TURN: usize = 64;
/// How often slow work is done: expiry, discovery, sweeps.
pub(super) const UPKEEP_MILLIS: SpanMillis = SpanMillis::new(250);
/// How often it is done while the control group is not heard: all VMs may have
/// just started together.
pub(super) const SEEK_MILLIS: SpanMillis = SpanMillis::new(50);
/// How often the settings are read again while the control group is not heard.
pub(super) const SETTINGS_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// How long a stopping process forwards packets: two missed probes of the
/// network at two a second, and what is on its way.
pub(super) const LEAVE_MILLIS: SpanMillis = SpanMillis::new(1_300);
/// How long routes count as current after the last word of a replica.
pub(super) const CURRENT_MILLIS: SpanMillis = SpanMillis::new(1_500);
/// The updates of the watch that wait.
pub(super) const MAX_UPDATES: usize = 16;

/// The process on an entry VM: a balancer, and on VMs with a disk a replica of
/// the control group.
#[derive(Debug)]
pub struct EntryNode {
    pub(super) settings: FleetSettings,
    pub(super) codec: Arc<dyn PacketCodec>,
    pub(super) source: Arc<dyn SettingsSource>,
    pub(super) clock: ProcessClock,
    pub(super) packets: UdpSocket,
    pub(super) fleet: FleetSocket,
    pub(super) core: CoreView,
    pub(super) seat: Option<ControlSeat>,
    pub(super) directory: Option<SharedDirectory>,
    pub(super) agents_file: Option<DirectoryFile>,
    pub(super) recall: ProcessRecall,
    pub(super) flows: BalancerFlows,
    pub(super) view: TargetView,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) leaving: bool,
    pub(super) current_at: Option<ClockMillis>,
    /// Whether the replica that was followed has not answered.
    pub(super) control_lost: bool,
    pub(super) upkeep_at: ClockMillis,
    pub(super) settings_at: ClockMillis,
    pub(super) budget: LogBudget,
    pub(super) counters: EntryCounters,
    pub(super) frame: Vec<u8>,
}

impl EntryNode {
    /// Opens the sockets and starts the replica, if the VM has a disk; it must
    /// be called within the runtime. `calls` is the port for operators.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be had.
    pub async fn start(
        settings: FleetSettings,
        calls: u16,
        codec: Arc<dyn PacketCodec>,
        source: Arc<dyn SettingsSource>,
    ) -> Result<(Self, EntryHandle), FleetError> {
        let clock = ProcessClock::new();
        let core = CoreView::new(settings.seeds.clone());
        let packets = open_socket(settings.packets, "packets of callers")?;
        let fleet = FleetSocket::open(settings.listen_address(), settings.ports.datagrams)?;
        let seat = match &settings.data_folder {
            Some(folder) => Some(ControlSeat::start(&settings, calls, folder)?),
            None => None,
        };
        let mut agents_file = None;
        let directory = match (&seat, &settings.data_folder) {
            (Some(seat), Some(folder)) => {
                agents_file = Some(DirectoryFile::open(folder));
                let directory = TargetDirectory::new(rand::random(), clock.now());
                let shared = SharedDirectory::new(directory);
                let server = WatchServer::new(seat.clone(), shared.clone(), clock);
                let address = SocketAddrV4::new(settings.listen_address(), settings.ports.watch);
                server.start(address).await?;
                Some(shared)
            }
            _ => None,
        };
        let ready = Arc::new(AtomicBool::new(false));
        let handle = EntryHandle::new(seat.clone(), core.clone(), calls, Arc::clone(&ready));
        let table = ListenerTable::new(settings.flow_age);
        let node = Self {
            flows: BalancerFlows::new(settings.address, table, settings.flow_age),
            codec,
            source,
            clock,
            packets,
            fleet,
            core,
            seat,
            directory,
            agents_file,
            recall: ProcessRecall::default(),
            view: TargetView::default(),
            ready,
            leaving: false,
            current_at: None,
            control_lost: false,
            upkeep_at: clock.now(),
            settings_at: clock.now().after(SETTINGS_MILLIS),
            budget: LogBudget::default(),
            counters: EntryCounters::default(),
            frame: Vec::with_capacity(MAX_PACKET_BYTES),
            settings,
        };
        Ok((node, handle))
    }

    /// Forwards packets until the process is told to stop and has left in order.
    ///
    /// # Errors
    ///
    /// Fails when signals can't be listened for.
    pub async fn run(mut self) -> Result<(), FleetError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(FleetError::Signals)?;
        let mut hangup = signal(SignalKind::hangup()).map_err(FleetError::Signals)?;
        let (sender, mut updates) = mpsc::channel(MAX_UPDATES);
        let watch = WatchClient::new(
            self.settings.address,
            self.settings.ports.watch,
            self.core.clone(),
            sender,
        );
        tokio::spawn(watch.run());
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
            replica = self.seat.is_some()
        );
        let mut leave_at: Option<Instant> = None;
        loop {
            let wake_at = self.wake_at();
            tokio::select! {
                _ = self.packets.readable() => self.take_packets(),
                _ = self.fleet.readable() => self.take_datagrams(),
                Some(update) = updates.recv() => self.take_update(update),
                Some(inspection) = inspections.recv() => self.answer_inspection(inspection),
                () = sleep_until(wake_at) => self.wake(),
                () = stop_asked(&mut terminate), if leave_at.is_none() => {
                    leave_at = Some(self.begin_leaving());
                }
                () = stop_asked(&mut hangup) => self.reread_settings(),
                () = sleep_until(leave_at.unwrap_or(wake_at)), if leave_at.is_some() => break,
            }
        }
        log_event!(
            info,
            FleetEvent::EntryStopped,
            flows = self.flows.remembered()
        );
        Ok(())
    }

    fn begin_leaving(&mut self) -> Instant {
        log_event!(info, FleetEvent::StopBegun);
        self.leaving = true;
        self.update_ready();
        if let Some(seat) = self.seat.clone() {
            tokio::spawn(async move { seat.step_aside().await });
        }
        let most = self.settings.grace.less(SpanMillis::new(1_500));
        Instant::now() + LEAVE_MILLIS.min(most).duration()
    }

    /// Returns when the next timed work is due.
    fn wake_at(&self) -> Instant {
        let now = self.clock.now();
        let next = self
            .flows
            .next_due()
            .map_or(self.upkeep_at, |due| due.min(self.upkeep_at));
        Instant::now() + next.since(now).duration().max(Duration::from_millis(1))
    }

    fn take_datagrams(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..PACKETS_A_TURN {
            let Some((length, from)) = self.fleet.receive(&mut buffer) else {
                return;
            };
            let SocketAddr::V4(from) = from else { continue };
            if let Some(datagram) = FleetDatagram::decode(&buffer[..length]) {
                self.take_datagram(&datagram, *from.ip());
            }
        }
    }

    fn take_datagram(&mut self, datagram: &FleetDatagram, from: Ipv4Addr) {
        let now = self.clock.now();
        match datagram {
            FleetDatagram::Announce(record) => {
                self.recall.hear(record.agent);
                if let Some(directory) = &self.directory {
                    directory.change(|directory| directory.announce(*record, now));
                }
                self.answer_members(from);
            }
            FleetDatagram::Locate => {
                self.recall.hear(from);
                self.answer_members(from);
            }
            FleetDatagram::Located { members } => {
                if self.core.meet(members.clone(), None) {
                    log_event!(info, FleetEvent::CoreFound, ?members, %from);
                }
            }
            FleetDatagram::Report(report) => {
                self.answer_report(report, now);
                if self.budget.allows(FleetEvent::ReportTaken, now) {
                    log_event!(info, FleetEvent::ReportTaken, flow = %report.flow, agent = %report.agent, kind = ?report.kind);
                }
            }
        }
    }

    /// Tells another process who belongs to the control group, if that is known.
    pub(super) fn answer_members(&self, to: Ipv4Addr) {
        let members = self.core.members();
        if !members.is_empty() {
            self.fleet.send(to, &FleetDatagram::Located { members });
        }
    }

    fn take_update(&mut self, update: WatchUpdate) {
        match update {
            WatchUpdate::News(news) => self.take_news(*news),
            WatchUpdate::Lost { replica, cause } => {
                self.control_lost = true;
                self.update_ready();
                log_event!(warn, FleetEvent::CoreLost, %replica, %cause);
            }
        }
    }

    fn take_news(&mut self, news: WatchNews) {
        let now = self.clock.now();
        let could_end = self.flows.can_end_flows();
        let mut learned = false;
        self.control_lost = false;
        if news.current {
            self.current_at = Some(now);
            self.flows.set_current(true);
        }
        if self.core.meet(news.members, news.leader) {
            log_event!(info, FleetEvent::CoreFound, members = ?self.core.members());
        }
        if let Some(routes) = news.routes
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
        if let Some(targets) = news.targets {
            for record in self.view.take_news(targets) {
                learned = true;
                log_event!(info, FleetEvent::TargetChanged, agent = %record.agent, service = %record.service, standing = ?record.standing);
            }
            self.flows.set_targets(self.view.known_targets());
        }
        self.update_ready();
        if learned || self.flows.can_end_flows() != could_end {
            self.take_parked();
        }
    }
}

/// Waits for a signal; a closed stream of signals never brings one.
pub(super) async fn stop_asked(signals: &mut Signal) {
    if signals.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}
