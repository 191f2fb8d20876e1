use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use serde_json::json;
use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
    sync::mpsc,
    time::{Instant, sleep_until},
};

use super::{
    FleetError, FleetEvent, SettingsSource, SideHandle, SideSettings,
    agent_policy::AgentPolicy,
    announced_figures::AnnouncedFigures,
    entry_node::wait_for_signal,
    entry_sockets::{FleetSocket, open_socket},
    fleet_counters::SideCounters,
    fleet_datagram::{FleetDatagram, MAX_DATAGRAM_BYTES},
    group_view::GroupView,
    inspect_server::{InspectRequest, Inspection, start_inspections},
    log_limiter::LogLimiter,
    side_handle::SideCommand,
    target_probe::TargetProbe,
    target_tracker::TargetTracker,
};
use crate::{
    clock::{ClockMillis, ProcessClock, SpanMillis},
    directory::TargetStatus,
    event::log_event,
    flow::{AgentFlows, PacketCodec},
    key::IncarnationId,
    listener::ServiceTag,
};

/// The largest frame in bytes: packet, header and candidates.
pub(super) const MAX_FRAME_BYTES: usize = 2_048;
/// The most packets handled before other work gets its turn.
pub(super) const PACKETS_PER_TURN: usize = 64;
/// The interval of repeated announcements: after a change, since datagrams may be
/// lost, and while no control replica is known.
pub(super) const REPEAT_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(100);
/// How often a silent or suspected target is probed.
pub(super) const PROBE_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// How long connecting to the target, on the same VM, may take.
pub(super) const PROBE_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(300);
/// How many times the announcement of a change is repeated.
pub(super) const CHANGE_REPEATS: u32 = 2;
/// The capacity of the queues of the target's calls and of probe results.
pub(super) const QUEUE_CAPACITY: usize = 64;
/// The silence of the control group after which the seeds are contacted again.
pub(super) const GROUP_LOST_MILLIS: SpanMillis = SpanMillis::new(1_500);

/// The agent process beside a target.
#[derive(Debug)]
pub struct SideNode {
    pub(super) settings: SideSettings,
    pub(super) service: ServiceTag,
    pub(super) codec: Arc<dyn PacketCodec>,
    pub(super) settings_source: Arc<dyn SettingsSource>,
    pub(super) clock: ProcessClock,
    pub(super) frame_socket: UdpSocket,
    pub(super) target_socket: UdpSocket,
    pub(super) fleet_socket: FleetSocket,
    pub(super) group: GroupView,
    pub(super) group_heard_at: ClockMillis,
    pub(super) flows: AgentFlows,
    pub(super) tracker: TargetTracker,
    pub(super) agent_run: u64,
    pub(super) sequence: u64,
    pub(super) policy: AgentPolicy,
    pub(super) announced: Option<(TargetStatus, Option<IncarnationId>)>,
    pub(super) figures: AnnouncedFigures,
    /// Whether the pace of the target was being found when last logged.
    pub(super) finds_pace: bool,
    pub(super) repeats_left: u32,
    pub(super) announce_at: ClockMillis,
    pub(super) probe_at: ClockMillis,
    pub(super) probes: mpsc::Sender<TargetProbe>,
    pub(super) commands: mpsc::Receiver<SideCommand>,
    pub(super) log_limiter: LogLimiter,
    pub(super) counters: SideCounters,
    pub(super) frame_buffer: Vec<u8>,
}

impl SideNode {
    /// Opens the sockets; it must be called within the runtime.
    ///
    /// # Errors
    ///
    /// Fails when a socket can't be bound.
    pub fn start(
        settings: SideSettings,
        codec: Arc<dyn PacketCodec>,
        settings_source: Arc<dyn SettingsSource>,
    ) -> Result<(Self, SideHandle), FleetError> {
        let clock = ProcessClock::new();
        let now = clock.now();
        let fleet = &settings.fleet;
        let service = ServiceTag::of(&settings.service);
        let agent_run = rand::random();
        let (sender, commands) = mpsc::channel(QUEUE_CAPACITY);
        let node = Self {
            service,
            codec,
            settings_source,
            clock,
            frame_socket: open_socket(fleet.packet_address, "frames of balancers")?,
            target_socket: open_socket(settings.outbound, "packets of the target")?,
            fleet_socket: FleetSocket::open(fleet.listen_address(), fleet.ports.datagrams)?,
            group: GroupView::new(fleet.seeds.clone()),
            group_heard_at: now,
            flows: AgentFlows::new(fleet.address, service, rand::random(), fleet.max_flow_age),
            tracker: TargetTracker::new(settings.heartbeat, now),
            agent_run,
            sequence: 0,
            policy: AgentPolicy {
                agent_run,
                ..AgentPolicy::default()
            },
            announced: None,
            figures: AnnouncedFigures::new(now),
            finds_pace: false,
            repeats_left: 0,
            announce_at: now,
            probe_at: now,
            probes: mpsc::channel(1).0,
            commands,
            log_limiter: LogLimiter::default(),
            counters: SideCounters::default(),
            frame_buffer: Vec::with_capacity(MAX_FRAME_BYTES),
            settings,
        };
        Ok((node, SideHandle { commands: sender }))
    }

    /// Serves the target until a stop signal.
    ///
    /// # Errors
    ///
    /// Fails when signal handlers can't be installed or the socket for
    /// inspections can't be bound.
    pub async fn run(mut self) -> Result<(), FleetError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(FleetError::Signals)?;
        let mut hangup = signal(SignalKind::hangup()).map_err(FleetError::Signals)?;
        let (probes, mut probe_results) = mpsc::channel(QUEUE_CAPACITY);
        self.probes = probes;
        self.probe_target(self.clock.now());
        let fleet = &self.settings.fleet;
        let inspect = SocketAddrV4::new(fleet.listen_address(), fleet.ports.inspections);
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
            let next_work_at = self.next_work_at();
            tokio::select! {
                _ = self.frame_socket.readable() => self.receive_frames(),
                _ = self.target_socket.readable() => self.receive_target_packets(),
                _ = self.fleet_socket.readable() => self.receive_datagrams(),
                Some(command) = self.commands.recv() => self.handle_command(command),
                Some(inspection) = inspections.recv() => self.answer_inspection(inspection),
                Some(probe) = probe_results.recv() => self.handle_probe_result(probe),
                () = sleep_until(next_work_at) => self.run_due_work(),
                () = wait_for_signal(&mut hangup) => self.reread_seeds(),
                () = wait_for_signal(&mut terminate) => break,
            }
        }
        self.refuse_waiting();
        log_event!(
            info,
            FleetEvent::SideStopped,
            flows = self.flows.tracked_flows()
        );
        Ok(())
    }

    /// Returns when the next timed work is due.
    fn next_work_at(&self) -> Instant {
        let now = self.clock.now();
        let next = self
            .flows
            .next_due()
            .map_or(self.announce_at, |due| due.min(self.announce_at));
        Instant::now() + next.since(now).duration().max(Duration::from_millis(1))
    }

    fn run_due_work(&mut self) {
        let now = self.clock.now();
        let suspect = self.flows.is_suspect();
        for (mut packet, flow, step) in self.flows.expire_openings(now) {
            self.counters.unanswered += 1;
            if self.log_limiter.allows(FleetEvent::FlowUnanswered, now) {
                log_event!(warn, FleetEvent::FlowUnanswered, %flow, action = %step.action);
            }
            self.apply_step(step, &mut packet, flow, now);
        }
        self.admit_waiting(now);
        if self.flows.is_suspect() && !suspect {
            log_event!(warn, FleetEvent::TargetSuspected, target = %self.settings.target);
            self.announce_change(now);
        }
        if now >= self.announce_at {
            self.announce(now);
        }
        self.announce_figures(now);
    }

    fn answer_inspection(&mut self, inspection: Inspection) {
        let now = self.clock.now();
        let figures = self.flows.figures(now);
        let reply = match inspection.request {
            InspectRequest::Dump => json!({
                "role": "side",
                "name": self.settings.fleet.name,
                "service": self.settings.service,
                "service_tag": self.service,
                "target": self.settings.target,
                "start": self.tracker.incarnation(),
                "standing": self.announced.map(|(status, _)| status),
                "suspect": self.flows.is_suspect(),
                "silence_ms": self.flows.silence(now),
                "evacuated_domains": Vec::from_iter(self.evacuated_domain()),
                "evacuations_revision": self.policy.evacuation_revision,
                "cold_limit": self.policy.cold_limit,
                "members": self.group.members(),
                "flows": self.flows.tracked_flows(),
                "busy": self.flows.in_flight(),
                "waiting": self.flows.waiting(),
                "speed_tenths": figures.speed,
                "failures_permille": figures.failures,
                "pace_window": figures.pace_window,
                "packets": self.counters,
            }),
            InspectRequest::Flow(flow) => json!({
                "role": "side",
                "name": self.settings.fleet.name,
                "flow": self.flows.find(flow, now),
            }),
        };
        // The operator may have disconnected.
        let _ = inspection.reply_to.send(reply);
    }

    fn receive_datagrams(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while let Some((length, from)) = self.fleet_socket.receive(&mut buffer) {
            match FleetDatagram::decode(&buffer[..length]) {
                Some(FleetDatagram::Located { members, sender }) => {
                    self.note_members(&members, sender, from);
                }
                Some(FleetDatagram::Recall { members, sender }) => {
                    self.note_members(&members, sender, from);
                    if let SocketAddr::V4(replica) = from {
                        self.announce_to(&[*replica.ip()]);
                    }
                }
                Some(FleetDatagram::Policy(policy)) => self.note_policy(&policy, from),
                // Agents get no other datagrams.
                Some(_) | None => {}
            }
        }
    }

    /// Applies a policy of a replica. Only replicas know the number of this run, so that
    /// stray datagrams have no effect.
    fn note_policy(&mut self, policy: &AgentPolicy, from: SocketAddr) {
        if !self.policy.merge(policy) {
            return;
        }
        log_event!(info, FleetEvent::PolicyInForce, %from, policy = ?self.policy);
        self.flows.set_evacuated(self.policy.evacuated);
        let cold_limit = self.policy.cold_limit;
        self.flows
            .set_cold_limit(cold_limit.map(|limit| limit.per_second));
        // Openings that wait are refused if the domain is evacuated.
        self.admit_waiting(self.clock.now());
    }

    /// Returns the name of this agent's domain if it is evacuated.
    fn evacuated_domain(&self) -> Option<&str> {
        let fleet = &self.settings.fleet;
        self.policy.evacuated.then_some(fleet.domain.as_str())
    }

    fn note_members(&mut self, members: &[Ipv4Addr], sender: Option<Ipv4Addr>, from: SocketAddr) {
        let SocketAddr::V4(from) = from else { return };
        let from = sender.unwrap_or(*from.ip());
        if members.contains(&from) {
            self.group_heard_at = self.clock.now();
        }
        if self.group.note_members(members, from) {
            log_event!(info, FleetEvent::CoreFound, members = ?self.group.members(), %from);
            // New members have not heard of this agent's target yet.
            self.announce_at = self.clock.now();
        }
    }
}
