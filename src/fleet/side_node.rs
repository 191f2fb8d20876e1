use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use serde_json::json;
use tokio::{
    net::{TcpStream, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::mpsc,
    time::{Instant, sleep_until, timeout},
};

use super::{
    FleetError, FleetEvent, SettingsSource, SideHandle, SideSettings,
    core_view::CoreView,
    entry_node::stop_asked,
    entry_sockets::{FleetSocket, open_socket},
    fleet_counters::{SideCounters, publish_gauge},
    fleet_datagram::{FleetDatagram, MAX_DATAGRAM_BYTES},
    inspect_server::{InspectQuestion, Inspection, start_inspections},
    log_budget::LogBudget,
    side_handle::SideCommand,
    target_tracker::{NoticeVerdict, TargetTracker},
};
use crate::{
    clock::{ClockMillis, ProcessClock, SpanMillis},
    directory::{ANNOUNCE_MILLIS, TargetRecord, TargetStanding},
    event::log_event,
    flow::{AgentAction, AgentFlows, AgentStep, FlowKey, HopFrame, PacketCodec, request_id},
    key::IncarnationId,
    listener::ServiceTag,
};

/// The largest frame: packet, header and candidates.
const MAX_FRAME_BYTES: usize = 2_048;
/// The packets that are taken before other work gets its turn.
const PACKETS_A_TURN: usize = 64;
/// The shortest time between two announcements; a change is repeated at once,
/// since datagrams may be lost.
const REPEAT_MILLIS: SpanMillis = SpanMillis::new(100);
/// How often a silent target is looked after.
const PROBE_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// How long a connection to the target may take on its own VM.
const PROBE_ANSWER_MILLIS: SpanMillis = SpanMillis::new(300);
/// How often a change is repeated.
const CHANGE_REPEATS: u32 = 2;
/// The calls of the target that wait.
const MAX_COMMANDS: usize = 64;
/// The silence of the control group after which it is looked for.
const LOST_MILLIS: SpanMillis = SpanMillis::new(1_500);

/// The process beside a target.
#[derive(Debug)]
pub struct SideNode {
    settings: SideSettings,
    service: ServiceTag,
    codec: Arc<dyn PacketCodec>,
    source: Arc<dyn SettingsSource>,
    clock: ProcessClock,
    frames: UdpSocket,
    outbound: UdpSocket,
    fleet: FleetSocket,
    core: CoreView,
    core_heard_at: ClockMillis,
    flows: AgentFlows,
    tracker: TargetTracker,
    run: u64,
    sequence: u64,
    announced: Option<(TargetStanding, Option<IncarnationId>)>,
    repeats: u32,
    announce_at: ClockMillis,
    probe_at: ClockMillis,
    probes: mpsc::Sender<bool>,
    commands: mpsc::Receiver<SideCommand>,
    budget: LogBudget,
    counters: SideCounters,
    frame: Vec<u8>,
}

impl SideNode {
    /// Opens the sockets; it must be called within the runtime.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be had.
    pub fn start(
        settings: SideSettings,
        codec: Arc<dyn PacketCodec>,
        source: Arc<dyn SettingsSource>,
    ) -> Result<(Self, SideHandle), FleetError> {
        let clock = ProcessClock::new();
        let now = clock.now();
        let fleet = &settings.fleet;
        let service = ServiceTag::of(&settings.service);
        let (sender, commands) = mpsc::channel(MAX_COMMANDS);
        let node = Self {
            service,
            codec,
            source,
            clock,
            frames: open_socket(fleet.packets, "frames of balancers")?,
            outbound: open_socket(settings.outbound, "packets of the target")?,
            fleet: FleetSocket::open(fleet.address, fleet.ports.datagrams)?,
            core: CoreView::new(fleet.seeds.clone()),
            core_heard_at: now,
            flows: AgentFlows::new(fleet.address, service, rand::random(), fleet.flow_age),
            tracker: TargetTracker::new(settings.heartbeat, now),
            run: rand::random(),
            sequence: 0,
            announced: None,
            repeats: 0,
            announce_at: now,
            probe_at: now,
            probes: mpsc::channel(1).0,
            commands,
            budget: LogBudget::default(),
            counters: SideCounters::default(),
            frame: Vec::with_capacity(MAX_FRAME_BYTES),
            settings,
        };
        Ok((node, SideHandle { commands: sender }))
    }

    /// Serves the target until the process is told to stop.
    ///
    /// # Errors
    ///
    /// Fails when signals can't be listened for.
    pub async fn run(mut self) -> Result<(), FleetError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(FleetError::Signals)?;
        let mut hangup = signal(SignalKind::hangup()).map_err(FleetError::Signals)?;
        let (probes, mut presence) = mpsc::channel(MAX_COMMANDS);
        self.probes = probes;
        self.probe_target(self.clock.now());
        let fleet = &self.settings.fleet;
        let inspect = SocketAddrV4::new(fleet.address, fleet.ports.inspections);
        let mut inspections = start_inspections(inspect).await?;
        log_event!(
            info,
            FleetEvent::SideStarted,
            name = self.settings.fleet.name,
            address = %self.settings.fleet.address,
            service = self.settings.service,
            target = %self.settings.target
        );
        loop {
            let wake_at = self.wake_at();
            tokio::select! {
                _ = self.frames.readable() => self.take_frames(),
                _ = self.outbound.readable() => self.take_answers(),
                _ = self.fleet.readable() => self.take_datagrams(),
                Some(command) = self.commands.recv() => self.take_command(command),
                Some(inspection) = inspections.recv() => self.answer_inspection(inspection),
                Some(present) = presence.recv() => self.take_presence(present),
                () = sleep_until(wake_at) => self.wake(),
                () = stop_asked(&mut hangup) => self.reread_settings(),
                () = stop_asked(&mut terminate) => break,
            }
        }
        log_event!(info, FleetEvent::SideStopped, flows = self.flows.held());
        Ok(())
    }

    /// Returns when the next timed work is due.
    fn wake_at(&self) -> Instant {
        let now = self.clock.now();
        let next = self
            .flows
            .next_due()
            .map_or(self.announce_at, |due| due.min(self.announce_at));
        Instant::now() + next.since(now).duration().max(Duration::from_millis(1))
    }

    fn wake(&mut self) {
        let now = self.clock.now();
        let suspect = self.flows.is_suspect();
        for (mut packet, flow, step) in self.flows.expire_openings(now) {
            self.counters.unanswered += 1;
            if self.budget.allows(FleetEvent::FlowUnanswered, now) {
                log_event!(warn, FleetEvent::FlowUnanswered, %flow, action = %step.action);
            }
            self.act(step, &mut packet, flow, now);
        }
        if self.flows.is_suspect() && !suspect {
            log_event!(warn, FleetEvent::TargetSuspected, target = %self.settings.target);
            self.announce_change(now);
        }
        if now >= self.announce_at {
            self.announce(now);
        }
    }

    /// Decides anew whether the target takes flows; returns what balancers
    /// should know.
    fn judge_target(&mut self, now: ClockMillis) -> TargetStanding {
        let target = self.tracker.target();
        let incarnation = self.tracker.incarnation();
        let resets = self.flows.set_target(target, incarnation);
        if !resets.is_empty() {
            log_event!(info, FleetEvent::FlowsGone, ?target, flows = resets.len());
        }
        for reset in resets {
            self.counters.reset += 1;
            let answer = self.codec.encode_reset(&reset);
            self.send_to_caller(reset.flow, &answer);
        }
        let suspect = self.flows.is_suspect();
        let silent = self.tracker.is_silent(self.flows.silence(now), now);
        if (suspect || silent) && now >= self.probe_at {
            self.probe_target(now);
        }
        self.tracker.standing(target, suspect || silent, now)
    }

    /// Looks whether anything listens at the target's address; on one VM that
    /// is decided at once.
    fn probe_target(&mut self, now: ClockMillis) {
        self.probe_at = now.after(PROBE_MILLIS);
        let target = self.settings.target;
        let probes = self.probes.clone();
        tokio::spawn(async move {
            let connect = TcpStream::connect(target);
            let present = matches!(
                timeout(PROBE_ANSWER_MILLIS.duration(), connect).await,
                Ok(Ok(_))
            );
            // A process that stops needs no answer.
            let _ = probes.send(present).await;
        });
    }

    fn take_presence(&mut self, present: bool) {
        let now = self.clock.now();
        // What came while the probe was under way is newer.
        let heard = self
            .flows
            .silence(now)
            .is_some_and(|silence| silence < PROBE_ANSWER_MILLIS);
        log_event!(info, FleetEvent::TargetProbed, target = %self.settings.target, present, heard);
        if present || !heard {
            self.tracker.note_presence(present, now);
        }
        self.announce_change(now);
    }

    /// Announces the target if what balancers should know has changed.
    fn announce_change(&mut self, now: ClockMillis) {
        let standing = self.judge_target(now);
        if self.announced != Some((standing, self.tracker.incarnation())) {
            self.announce(now);
        }
    }

    fn announce(&mut self, now: ClockMillis) {
        let standing = self.judge_target(now);
        let news = Some((standing, self.tracker.incarnation()));
        if self.announced != news {
            self.announced = news;
            self.repeats = CHANGE_REPEATS;
            log_event!(info, FleetEvent::TargetChanged, agent = %self.settings.fleet.address, service = %self.service, ?standing);
        }
        let pause = if self.repeats > 0 {
            self.repeats -= 1;
            REPEAT_MILLIS
        } else if self.core.members().is_empty() {
            REPEAT_MILLIS
        } else {
            ANNOUNCE_MILLIS
        };
        self.announce_at = now.after(pause);
        self.sequence += 1;
        let record = TargetRecord {
            agent: self.settings.fleet.address,
            service: self.service,
            agent_run: self.run,
            sequence: self.sequence,
            target: self.tracker.incarnation(),
            standing,
        };
        for contact in self.contacts(now) {
            self.fleet.send(contact, &FleetDatagram::Announce(record));
        }
        self.flows.sweep(now);
        self.counters.publish();
        publish_gauge("cyclamen_side_flows", self.flows.held());
        publish_gauge("cyclamen_side_suspect", self.flows.is_suspect().into());
    }

    fn answer_inspection(&self, inspection: Inspection) {
        let now = self.clock.now();
        let reply = match inspection.question {
            InspectQuestion::Dump => json!({
                "role": "side",
                "name": self.settings.fleet.name,
                "service": self.settings.service,
                "service_tag": self.service,
                "target": self.settings.target,
                "start": self.tracker.incarnation(),
                "standing": self.announced.map(|(standing, _)| standing),
                "suspect": self.flows.is_suspect(),
                "silence_ms": self.flows.silence(now),
                "members": self.core.members(),
                "flows": self.flows.held(),
                "packets": self.counters,
            }),
            InspectQuestion::Flow(flow) => json!({
                "role": "side",
                "name": self.settings.fleet.name,
                "flow": self.flows.find(flow, now),
            }),
        };
        // An operator that went away needs no answer.
        let _ = inspection.answer.send(reply);
    }

    /// Returns whom to announce to: the control group, and the seeds as well
    /// while it is not heard.
    fn contacts(&mut self, now: ClockMillis) -> Vec<Ipv4Addr> {
        let members = self.core.members();
        let lost = now.since(self.core_heard_at) >= LOST_MILLIS;
        if lost {
            self.reread_settings();
        }
        if members.is_empty() || lost {
            return self.core.contacts();
        }
        members
    }

    fn reread_settings(&mut self) {
        if let Some(seeds) = self.source.seeds()
            && self.core.set_seeds(seeds.clone())
        {
            log_event!(info, FleetEvent::SettingsReread, ?seeds);
        }
    }

    fn take_command(&mut self, command: SideCommand) {
        let now = self.clock.now();
        let (verdict, answer) = match command {
            SideCommand::Announce { notice, answer } => {
                let verdict = self.tracker.take(notice.clone(), now);
                if verdict == NoticeVerdict::Taken {
                    self.hear_target(now);
                    log_event!(info, FleetEvent::NoticeTaken, id = notice.id, sequence = notice.sequence, state = ?notice.state, warm_in = %notice.warm_in);
                }
                (verdict, answer)
            }
            SideCommand::End { id, answer } => {
                let verdict = self.tracker.end(&id);
                log_event!(info, FleetEvent::NoticeTaken, id, state = "ended", ?verdict);
                (verdict, answer)
            }
        };
        if verdict == NoticeVerdict::Late {
            log_event!(info, FleetEvent::NoticeIgnored, ?verdict);
        }
        self.announce_change(now);
        // A caller that went away repeats itself.
        let _ = answer.send(verdict);
    }

    fn hear_target(&mut self, now: ClockMillis) {
        if self.flows.hear_target(now) {
            log_event!(info, FleetEvent::TargetHeard, target = %self.settings.target);
            self.announce_change(now);
        }
    }

    fn take_frames(&mut self) {
        let mut buffer = [0; MAX_FRAME_BYTES];
        for _ in 0..PACKETS_A_TURN {
            match self.frames.try_recv_from(&mut buffer) {
                Ok((length, _)) => self.take_frame(&mut buffer[..length]),
                Err(_) => return,
            }
        }
    }

    fn take_frame(&mut self, bytes: &mut [u8]) {
        let now = self.clock.now();
        self.counters.frames += 1;
        let Some(frame) = HopFrame::decode(bytes) else {
            return self.refuse_datagram("no frame", now);
        };
        let Ok(packet) = self.codec.decode(frame.packet) else {
            return self.refuse_datagram("no packet in the frame", now);
        };
        let step = self
            .flows
            .take_frame(frame.header, &packet, frame.packet, now);
        if packet.data_bytes > 0
            && let Some(request) = request_id(self.codec.data(frame.packet))
            && self.budget.allows(FleetEvent::RequestDelivered, now)
        {
            log_event!(info, FleetEvent::RequestDelivered, request, flow = %packet.caller_flow(), hops = frame.header.hops, target = ?self.tracker.target(), action = %step.action);
        }
        self.act(step, frame.packet, packet.caller_flow(), now);
    }

    fn refuse_datagram(&mut self, cause: &'static str, now: ClockMillis) {
        self.counters.undecodable += 1;
        if self.budget.allows(FleetEvent::DatagramRefused, now) {
            log_event!(warn, FleetEvent::DatagramRefused, cause);
        }
    }

    fn take_answers(&mut self) {
        let mut buffer = [0; MAX_FRAME_BYTES];
        for _ in 0..PACKETS_A_TURN {
            match self.outbound.try_recv_from(&mut buffer) {
                Ok((length, _)) => self.take_answer(&mut buffer[..length]),
                Err(_) => return,
            }
        }
    }

    fn take_answer(&mut self, bytes: &mut [u8]) {
        let now = self.clock.now();
        let Ok(packet) = self.codec.decode(bytes) else {
            return self.refuse_datagram("no packet of the target", now);
        };
        let suspect = self.flows.is_suspect();
        let step = self.flows.take_answer(&packet, now);
        if suspect {
            log_event!(info, FleetEvent::TargetHeard, target = %self.settings.target);
            self.announce_change(now);
        }
        let flow = match step.action {
            AgentAction::Return => packet.target_flow(),
            _ => packet.caller_flow(),
        };
        self.act(step, bytes, flow, now);
    }

    /// Does what was decided on a packet.
    fn act(&mut self, step: AgentStep, packet: &mut [u8], flow: FlowKey, now: ClockMillis) {
        match step.action {
            AgentAction::Deliver { tag } => {
                self.codec.prepare(packet, tag);
                // What the kernel does not take is lost, as any packet may be.
                let sent = self
                    .outbound
                    .try_send_to(packet, SocketAddr::V4(self.settings.target));
                match sent {
                    Ok(_) => self.counters.delivered += 1,
                    Err(_) => self.counters.unsent += 1,
                }
            }
            AgentAction::Return => {
                self.counters.returned += 1;
                self.send_to_caller(flow, packet);
            }
            AgentAction::PassOn { to, header } => {
                self.codec.prepare(packet, 0);
                header.encode(packet, &mut self.frame);
                let address = SocketAddrV4::new(to, self.settings.fleet.packets.port());
                // A frame that the kernel does not take is lost, as any may be.
                let sent = self
                    .frames
                    .try_send_to(&self.frame, SocketAddr::V4(address));
                match sent {
                    Ok(_) => self.counters.passed += 1,
                    Err(_) => self.counters.unsent += 1,
                }
                if self.budget.allows(FleetEvent::FlowPassed, now) {
                    log_event!(info, FleetEvent::FlowPassed, %flow, %to, hops = header.hops);
                }
            }
            AgentAction::Reset(reset) => {
                self.counters.reset += 1;
                let answer = self.codec.encode_reset(&reset);
                self.send_to_caller(flow, &answer);
            }
            AgentAction::Drop => {
                self.counters.dropped += 1;
                if self.budget.allows(FleetEvent::FlowDropped, now) {
                    log_event!(info, FleetEvent::FlowDropped, %flow);
                }
            }
        }
        if let Some((balancer, report)) = step.report {
            if self.budget.allows(FleetEvent::ReportSent, now) {
                log_event!(info, FleetEvent::ReportSent, %flow, kind = ?report.kind, %balancer);
            }
            self.fleet.send(balancer, &FleetDatagram::Report(report));
        }
    }

    fn send_to_caller(&mut self, flow: FlowKey, bytes: &[u8]) {
        let port = self.settings.fleet.packets.port();
        let address = SocketAddrV4::new(*flow.caller.ip(), port);
        // The ends of a flow repeat what is lost.
        if self
            .frames
            .try_send_to(bytes, SocketAddr::V4(address))
            .is_err()
        {
            self.counters.unsent += 1;
        }
    }

    fn take_datagrams(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while let Some((length, _)) = self.fleet.receive(&mut buffer) {
            if let Some(FleetDatagram::Located { members }) =
                FleetDatagram::decode(&buffer[..length])
            {
                self.core_heard_at = self.clock.now();
                if self.core.meet(members.clone(), None) {
                    log_event!(info, FleetEvent::CoreFound, ?members);
                }
            }
        }
    }
}
