use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use metrics::histogram;
use serde_json::json;
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
    fleet_counters::{EntryCounters, publish_gauge},
    fleet_datagram::{FleetDatagram, MAX_DATAGRAM_BYTES},
    inspect_server::{InspectQuestion, Inspection, start_inspections},
    log_budget::LogBudget,
    watch_client::{WatchClient, WatchTidings},
    watch_frame::WatchNews,
    watch_server::{SharedDirectory, WatchServer},
};
use crate::{
    clock::{ClockMillis, ProcessClock, SpanMillis},
    directory::{TargetDirectory, TargetView},
    event::log_event,
    flow::{
        BalancerFlows, FlowPacket, FlowReport, FlowVerdict, HopHeader, PacketCodec, RefusalCause,
        ReportStep,
    },
    listener::ListenerTable,
};

/// The largest packet with its header.
const MAX_PACKET_BYTES: usize = 2_048;
/// The packets that are taken before other work gets its turn.
const PACKETS_A_TURN: usize = 64;
/// How often slow work is done: expiry, discovery, sweeps.
const UPKEEP_MILLIS: SpanMillis = SpanMillis::new(250);
/// How often it is done while the control group is not heard: all VMs may have
/// just started together.
const SEEK_MILLIS: SpanMillis = SpanMillis::new(50);
/// How often the settings are read again while the control group is not heard.
const SETTINGS_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// How long a stopping process forwards packets: two missed probes of the
/// network at two a second, and what is on its way.
const LEAVE_MILLIS: SpanMillis = SpanMillis::new(1_300);
/// How long routes count as current after the last word of a replica.
const CURRENT_MILLIS: SpanMillis = SpanMillis::new(1_500);
/// The tidings of the watch that wait.
const MAX_TIDINGS: usize = 16;

/// The process on an entry VM: a balancer, and on VMs with a disk a replica of
/// the control group.
#[derive(Debug)]
pub struct EntryNode {
    settings: FleetSettings,
    codec: Arc<dyn PacketCodec>,
    source: Arc<dyn SettingsSource>,
    clock: ProcessClock,
    packets: UdpSocket,
    fleet: FleetSocket,
    core: CoreView,
    seat: Option<ControlSeat>,
    directory: Option<SharedDirectory>,
    agents_file: Option<DirectoryFile>,
    flows: BalancerFlows,
    view: TargetView,
    ready: Arc<AtomicBool>,
    leaving: bool,
    current_at: Option<ClockMillis>,
    /// Whether the replica that was followed has not answered.
    control_lost: bool,
    upkeep_at: ClockMillis,
    settings_at: ClockMillis,
    budget: LogBudget,
    counters: EntryCounters,
    frame: Vec<u8>,
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
        let fleet = FleetSocket::open(settings.address, settings.ports.datagrams)?;
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
                let address = SocketAddrV4::new(settings.address, settings.ports.watch);
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
        let (sender, mut tidings) = mpsc::channel(MAX_TIDINGS);
        let watch = WatchClient::new(
            self.settings.address,
            self.settings.ports.watch,
            self.core.clone(),
            sender,
        );
        tokio::spawn(watch.run());
        let inspect = SocketAddrV4::new(self.settings.address, self.settings.ports.inspections);
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
                Some(tiding) = tidings.recv() => self.take_tidings(tiding),
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

    fn wake(&mut self) {
        let now = self.clock.now();
        for (flow, packet, to, header) in self.flows.expire_openings(now) {
            if self.budget.allows(FleetEvent::FlowRetried, now) {
                log_event!(warn, FleetEvent::FlowRetried, %flow, %to, hops = header.hops);
            }
            self.counters.resent += 1;
            self.forward(&packet, to, header);
        }
        if now >= self.upkeep_at {
            self.keep_up(now);
            let pause = if self.is_current(now) {
                UPKEEP_MILLIS
            } else {
                SEEK_MILLIS
            };
            self.upkeep_at = now.after(pause);
        }
    }

    fn keep_up(&mut self, now: ClockMillis) {
        if let Some(directory) = &self.directory {
            directory.change(|directory| directory.expire(now));
            if let Some(file) = &mut self.agents_file {
                if let Some(agents) = file.take_read() {
                    directory.change(|directory| {
                        directory.await_agents(agents);
                        false
                    });
                }
                if let Some(agents) = directory.settled_agents(now) {
                    file.write(agents);
                }
            }
        }
        if let Some(seat) = &self.seat {
            let members = seat.members();
            let leader = seat.leader();
            if self.core.meet(members, leader) {
                log_event!(info, FleetEvent::CoreFound, members = ?self.core.members());
            }
            seat.meet_peers(&self.core.contacts());
        }
        if !self.is_current(now) {
            self.flows.set_current(false);
            self.locate_core();
            if now >= self.settings_at {
                self.settings_at = now.after(SETTINGS_MILLIS);
                self.reread_settings();
            }
        }
        self.flows.sweep(now);
        self.update_ready();
        self.counters.publish();
        publish_gauge("cyclamen_entry_flows", self.flows.remembered());
        publish_gauge("cyclamen_entry_targets", self.view.len());
        publish_gauge("cyclamen_entry_suspects", self.flows.suspects());
        if let Some(at) = self.current_at {
            histogram!("cyclamen_entry_control_age_ms").record(now.since(at).millis_float());
        }
    }

    fn answer_inspection(&self, inspection: Inspection) {
        let now = self.clock.now();
        let reply = match inspection.question {
            InspectQuestion::Dump => json!({
                "role": "entry",
                "name": self.settings.name,
                "domain": self.settings.domain,
                "routes_version": self.flows.table().version(),
                "control_age_ms": self.current_at.map(|at| now.since(at)),
                "members": self.core.members(),
                "leader": self.core.leader(),
                "leaving": self.leaving,
                "targets": self.view.records().collect::<Vec<_>>(),
                "flows": self.flows.remembered(),
                "suspects": self.flows.suspects(),
                "packets": self.counters,
            }),
            InspectQuestion::Flow(flow) => json!({
                "role": "entry",
                "name": self.settings.name,
                "routes_version": self.flows.table().version(),
                "flow": self.flows.find(flow, now),
            }),
        };
        // An operator that went away needs no answer.
        let _ = inspection.answer.send(reply);
    }

    /// Returns whether a replica that hears a leader was heard lately.
    fn is_current(&self, now: ClockMillis) -> bool {
        self.current_at
            .is_some_and(|at| now.since(at) < CURRENT_MILLIS)
    }

    fn locate_core(&self) {
        for contact in self.core.contacts() {
            if contact != self.settings.address {
                self.fleet.send(contact, &FleetDatagram::Locate);
            }
        }
    }

    fn reread_settings(&mut self) {
        if let Some(seeds) = self.source.seeds()
            && self.core.set_seeds(seeds.clone())
        {
            log_event!(info, FleetEvent::SettingsReread, ?seeds);
        }
    }

    fn update_ready(&mut self) {
        // Cut off from control and agents alike, other balancers serve better.
        let cut_off = self.control_lost && self.flows.is_isolated();
        let ready = !self.leaving && !cut_off && self.flows.is_ready();
        if ready != self.ready.swap(ready, Ordering::Relaxed) {
            let version = self.flows.table().version();
            let targets = self.view.len();
            log_event!(
                info,
                FleetEvent::EntryReady,
                ready,
                version,
                targets,
                cut_off
            );
        }
    }

    fn take_packets(&mut self) {
        let mut buffer = [0; MAX_PACKET_BYTES];
        for _ in 0..PACKETS_A_TURN {
            match self.packets.try_recv_from(&mut buffer) {
                Ok((length, _)) => self.take_packet(&buffer[..length]),
                Err(_) => return,
            }
        }
    }

    fn take_packet(&mut self, bytes: &[u8]) {
        let now = self.clock.now();
        self.counters.received += 1;
        let packet = match self.codec.decode(bytes) {
            Ok(packet) => packet,
            Err(fault) => {
                self.counters.undecodable += 1;
                if self.budget.allows(FleetEvent::DatagramRefused, now) {
                    log_event!(warn, FleetEvent::DatagramRefused, %fault);
                }
                return;
            }
        };
        match self.flows.take_packet(&packet, bytes, now) {
            FlowVerdict::Forward { to, header } => {
                self.log_forward(&packet, to, &header, now);
                self.forward(bytes, to, header);
            }
            FlowVerdict::Reset(reset, cause) => {
                self.counters.refused += 1;
                let answer = self.codec.encode_reset(&reset);
                self.send_to_caller(*reset.flow.caller.ip(), &answer);
                self.log_refusal(FleetEvent::FlowRefused, &packet, cause, now);
            }
            FlowVerdict::Drop(cause) => {
                self.counters.dropped += 1;
                self.log_refusal(FleetEvent::FlowDropped, &packet, cause, now);
            }
        }
    }

    fn log_forward(
        &mut self,
        packet: &FlowPacket,
        to: Ipv4Addr,
        header: &HopHeader,
        now: ClockMillis,
    ) {
        let event = if packet.opens() {
            self.counters.opened += 1;
            FleetEvent::FlowOpened
        } else if header.candidates().is_empty() {
            return;
        } else {
            self.counters.looked += 1;
            FleetEvent::FlowLooked
        };
        if self.budget.allows(event, now) {
            let flow = packet.caller_flow();
            let version = self.flows.table().version();
            let suspects = self.flows.suspects();
            tracing::info!(event = event.number(), %flow, %to, version, suspects, "{}", event.message());
        }
    }

    fn log_refusal(
        &mut self,
        event: FleetEvent,
        packet: &FlowPacket,
        cause: RefusalCause,
        now: ClockMillis,
    ) {
        if self.budget.allows(event, now) {
            let flow = packet.caller_flow();
            let version = self.flows.table().version();
            tracing::info!(event = event.number(), %flow, ?cause, version, "{}", event.message());
        }
    }

    fn forward(&mut self, packet: &[u8], to: Ipv4Addr, header: HopHeader) {
        header.encode(packet, &mut self.frame);
        let address = SocketAddrV4::new(to, self.settings.packets.port());
        // A frame that the kernel does not take is lost, as any may be.
        match self
            .packets
            .try_send_to(&self.frame, SocketAddr::V4(address))
        {
            Ok(_) => self.counters.forwarded += 1,
            Err(_) => self.counters.unsent += 1,
        }
    }

    fn send_to_caller(&mut self, caller: Ipv4Addr, bytes: &[u8]) {
        let address = SocketAddrV4::new(caller, self.settings.packets.port());
        // The caller repeats what it gets no answer to.
        if self
            .packets
            .try_send_to(bytes, SocketAddr::V4(address))
            .is_err()
        {
            self.counters.unsent += 1;
        }
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
                if let Some(directory) = &self.directory {
                    directory.change(|directory| directory.announce(*record, now));
                }
                self.answer_members(from);
            }
            FleetDatagram::Locate => self.answer_members(from),
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

    fn answer_report(&mut self, report: &FlowReport, now: ClockMillis) {
        if let Some(waited) = self.flows.opening_age(report.flow, now) {
            histogram!("cyclamen_entry_opening_ms").record(waited.millis_float());
        }
        match self.flows.take_report(report, now) {
            ReportStep::Nothing => {}
            ReportStep::Forward { packet, to, header } => self.forward(&packet, to, header),
            ReportStep::Reset(reset) => {
                self.counters.ended += 1;
                let answer = self.codec.encode_reset(&reset);
                self.send_to_caller(*reset.flow.caller.ip(), &answer);
                if self.budget.allows(FleetEvent::FlowEnded, now) {
                    log_event!(info, FleetEvent::FlowEnded, flow = %reset.flow, targets = self.view.len());
                }
            }
        }
    }

    fn answer_members(&self, to: Ipv4Addr) {
        let members = self.core.members();
        self.fleet.send(to, &FleetDatagram::Located { members });
    }

    fn take_tidings(&mut self, tiding: WatchTidings) {
        match tiding {
            WatchTidings::News(news) => self.take_news(*news),
            WatchTidings::Lost { replica, cause } => {
                self.control_lost = true;
                self.update_ready();
                log_event!(warn, FleetEvent::CoreLost, %replica, %cause);
            }
        }
    }

    fn take_news(&mut self, news: WatchNews) {
        let now = self.clock.now();
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
        }
        if let Some(targets) = news.targets {
            for record in self.view.take_news(targets) {
                log_event!(info, FleetEvent::TargetChanged, agent = %record.agent, service = %record.service, standing = ?record.standing);
            }
            self.flows.set_targets(self.view.known_targets());
        }
        self.update_ready();
    }
}

/// Waits for a signal; a closed stream of signals never brings one.
pub(super) async fn stop_asked(signals: &mut Signal) {
    if signals.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}
