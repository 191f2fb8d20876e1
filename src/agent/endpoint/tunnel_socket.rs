use std::{
    collections::HashMap,
    fmt, io,
    io::IoSliceMut,
    net::{SocketAddr, SocketAddrV4},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
};

use quinn::{AsyncUdpSocket, UdpPoller};
use quinn_udp::{EcnCodepoint, RecvMeta, Transmit};
use tokio::{io::ReadBuf, net::UdpSocket, sync::mpsc};

use super::{
    AnswerPaths, FirstPacketGate, FirstVerdict, LoadGauge, TargetIdentity, TunnelCounters,
    TunnelPoller, tunnel_counters::TunnelCount,
};
use crate::{
    agent::{
        AgentEvent,
        admission::{AdmissionGate, AdmissionVerdict, AgentPhase, PeerLoad},
    },
    clock::{ClockMillis, ProcessClock},
    event::log_event,
    key::TargetKey,
    route::{ConnectionRoute, PacketHeader, PacketKind, TargetChain},
    secret::SecretStore,
    tunnel::{FrameHeader, FrameKind},
};

/// The longest frame that is received, in bytes.
const LONGEST_FRAME_BYTES: usize = 2_048;
/// The bytes of a balancer's address before a passed-on datagram.
const ADDRESS_BYTES: usize = 6;
/// The messages of peers that wait to be taken; more are dropped.
pub(crate) const PEER_INBOX: usize = 1_024;

/// A message of another agent of the deployment.
#[derive(Debug)]
#[allow(dead_code, reason = "peers do not tell their load yet")]
pub(crate) struct PeerDatagram {
    /// The agent that sent it.
    pub(crate) source: TargetKey,
    /// What it holds.
    pub(crate) payload: Vec<u8>,
}

/// The agent's side of the tunnel, as the socket of its QUIC endpoint.
///
/// Datagrams of callers come in frames from balancers; the endpoint sees the
/// callers' own addresses. Answers go back in frames by any live balancer.
pub(crate) struct TunnelSocket {
    io: Arc<UdpSocket>,
    identity: TargetIdentity,
    secret: SecretStore,
    clock: ProcessClock,
    gate: FirstPacketGate,
    gauge: Arc<LoadGauge>,
    counters: TunnelCounters,
    paths: Mutex<AnswerPaths>,
    peer_loads: Mutex<HashMap<TargetKey, PeerLoad>>,
    inbox: mpsc::Sender<PeerDatagram>,
}

impl TunnelSocket {
    /// Wraps the bound socket; messages of peers go to `inbox`.
    pub(crate) fn new(
        io: UdpSocket,
        identity: TargetIdentity,
        secret: SecretStore,
        gate: AdmissionGate,
        gauge: Arc<LoadGauge>,
        inbox: mpsc::Sender<PeerDatagram>,
    ) -> Self {
        Self {
            io: Arc::new(io),
            identity,
            secret,
            clock: ProcessClock::new(),
            gate: FirstPacketGate::new(gate),
            gauge,
            counters: TunnelCounters::default(),
            paths: Mutex::new(AnswerPaths::new()),
            peer_loads: Mutex::new(HashMap::new()),
            inbox,
        }
    }

    /// Returns who this agent is.
    pub(crate) fn identity(&self) -> TargetIdentity {
        self.identity
    }

    /// Returns the clock that all decisions of the endpoint go by.
    pub(crate) fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// Returns the counters.
    pub(crate) fn counters(&self) -> &TunnelCounters {
        &self.counters
    }

    /// Returns the balancers that answers go by, with whether each answers.
    pub(crate) fn list_paths(&self) -> Vec<(SocketAddrV4, bool)> {
        self.lock_paths().list(self.clock.now())
    }

    /// Puts another phase in force for new connections.
    pub(crate) fn set_phase(&self, phase: AgentPhase) {
        self.gate.set_phase(phase);
    }

    /// Returns the phase in force.
    pub(crate) fn phase(&self) -> AgentPhase {
        self.gate.lock().phase(self.clock.now())
    }

    /// Returns the counts of the admission gate.
    pub(crate) fn admission(&self) -> crate::agent::admission::AdmissionCounts {
        self.gate.lock().counts()
    }

    /// Returns the verdict on a connection that the endpoint offers.
    pub(crate) fn verdict(&self, destination: &[u8]) -> AdmissionVerdict {
        self.gate
            .verdict(destination, &self.gauge, self.clock.now())
    }

    /// Notes what a peer told of its load.
    #[allow(dead_code, reason = "peers do not tell their load yet")]
    pub(crate) fn set_peer_load(&self, peer: TargetKey, load: PeerLoad) {
        self.lock_loads().insert(peer, load);
    }

    /// Returns what a peer last told of its load.
    pub(crate) fn peer_load(&self, peer: TargetKey) -> Option<PeerLoad> {
        self.lock_loads().get(&peer).copied()
    }

    /// Forgets what peers told that are no longer registered.
    #[allow(dead_code, reason = "peers do not tell their load yet")]
    pub(crate) fn keep_peers(&self, is_registered: impl Fn(TargetKey) -> bool) {
        self.lock_loads().retain(|peer, _| is_registered(*peer));
    }

    /// Sends a message to another agent; it may be lost.
    #[allow(dead_code, reason = "peers do not tell their load yet")]
    pub(crate) fn send_peer(&self, peer: TargetKey, payload: &[u8]) {
        let header = FrameHeader::new(
            FrameKind::Peer,
            self.identity.service,
            self.identity.target.address(),
        );
        self.send_frame(peer.address(), &header, payload);
    }

    /// Asks silent balancers for an echo and forgets idle ones.
    pub(crate) fn keep_paths(&self) {
        let now = self.clock.now();
        let probes = {
            let mut paths = self.lock_paths();
            paths.forget_idle(now);
            paths.due_probes(now)
        };
        for (balancer, number) in probes {
            let header = FrameHeader::new(FrameKind::Probe, self.identity.service, balancer)
                .with_echo(Some(number));
            self.send_frame(balancer, &header, &[]);
        }
    }

    /// Takes a frame; returns the caller and the bytes for the endpoint.
    fn take_frame<'a>(
        &self,
        source: SocketAddrV4,
        frame: &'a [u8],
    ) -> Option<(FrameHeader, &'a [u8])> {
        let read = FrameHeader::read(frame, &self.secret.keys());
        let (header, payload) = match read {
            Ok(frame) => frame,
            Err(error) => {
                self.counters.add(TunnelCount::BadFrame);
                log_event!(debug, AgentEvent::FrameRefused, %source, %error);
                return None;
            }
        };
        match header.kind {
            FrameKind::Forward => self.take_forward(source, header, payload),
            FrameKind::PassOn => self.take_passed_on(header, payload),
            FrameKind::Probe => {
                self.send_echo(source, &header);
                None
            }
            FrameKind::Echo => {
                self.take_echo(source, &header);
                None
            }
            FrameKind::Peer => {
                self.take_peer(source, payload);
                None
            }
            FrameKind::Leave => {
                self.lock_paths().forget(source);
                None
            }
            FrameKind::Answer => {
                self.counters.add(TunnelCount::BadFrame);
                None
            }
        }
    }

    fn take_forward<'a>(
        &self,
        balancer: SocketAddrV4,
        header: FrameHeader,
        datagram: &'a [u8],
    ) -> Option<(FrameHeader, &'a [u8])> {
        self.lock_paths().hear(balancer, self.clock.now());
        self.send_echo(balancer, &header);
        self.route_datagram(balancer, header, datagram)
    }

    fn take_passed_on<'a>(
        &self,
        header: FrameHeader,
        payload: &'a [u8],
    ) -> Option<(FrameHeader, &'a [u8])> {
        let (address, datagram) = payload.split_at_checked(ADDRESS_BYTES)?;
        let balancer = read_address(address);
        self.lock_paths().hear(balancer, self.clock.now());
        self.route_datagram(balancer, header, datagram)
    }

    /// Checks that a datagram belongs here, and applies the admission gate.
    fn route_datagram<'a>(
        &self,
        balancer: SocketAddrV4,
        header: FrameHeader,
        datagram: &'a [u8],
    ) -> Option<(FrameHeader, &'a [u8])> {
        if header.service != self.identity.service {
            self.counters.add(TunnelCount::OtherService);
            log_event!(debug, AgentEvent::OtherService, service = %header.service);
            return None;
        }
        let packet = PacketHeader::read(datagram)?;
        let route = ConnectionRoute::open(packet.destination, &self.secret.keys());
        match route {
            Some(route) => self.check_route(route).then_some((header, datagram)),
            None => self.gate_first(balancer, header, &packet, datagram),
        }
    }

    fn check_route(&self, route: ConnectionRoute) -> bool {
        if route.service != self.identity.service || route.target != self.identity.target {
            self.counters.add(TunnelCount::OtherTarget);
            log_event!(debug, AgentEvent::OtherTarget, target = %route.target);
            return false;
        }
        if route.incarnation_tag != self.identity.incarnation.tag() {
            // The endpoint does not know the ID and answers with a reset.
            self.counters.add(TunnelCount::OtherIncarnation);
        }
        true
    }

    fn gate_first<'a>(
        &self,
        balancer: SocketAddrV4,
        header: FrameHeader,
        packet: &PacketHeader<'_>,
        datagram: &'a [u8],
    ) -> Option<(FrameHeader, &'a [u8])> {
        if packet.kind == PacketKind::Short {
            return Some((header, datagram));
        }
        let next_load = header
            .chain
            .split_first()
            .and_then(|(next, _)| self.lock_loads().get(&next).copied());
        let verdict = self.gate.decide(
            packet.destination,
            header.chain,
            next_load,
            &self.gauge,
            self.clock.now(),
        );
        match verdict {
            FirstVerdict::Deliver => Some((header, datagram)),
            FirstVerdict::PassOn { next, rest } => {
                self.pass_on(balancer, &header, next, rest, datagram);
                None
            }
        }
    }

    fn pass_on(
        &self,
        balancer: SocketAddrV4,
        header: &FrameHeader,
        next: TargetKey,
        rest: TargetChain,
        datagram: &[u8],
    ) {
        let mut payload = Vec::with_capacity(ADDRESS_BYTES + datagram.len());
        payload.extend_from_slice(&balancer.ip().octets());
        payload.extend_from_slice(&balancer.port().to_be_bytes());
        payload.extend_from_slice(datagram);
        let header = FrameHeader::new(FrameKind::PassOn, header.service, header.caller)
            .with_chain(rest)
            .with_ecn(header.ecn);
        self.send_frame(next.address(), &header, &payload);
        self.counters.add(TunnelCount::PassedOn);
    }

    fn take_echo(&self, balancer: SocketAddrV4, header: &FrameHeader) {
        if let Some(number) = header.echo {
            self.lock_paths().take_echo(balancer, number);
        }
    }

    fn take_peer(&self, source: SocketAddrV4, payload: &[u8]) {
        let datagram = PeerDatagram {
            source: TargetKey::new(source),
            payload: payload.to_vec(),
        };
        if self.inbox.try_send(datagram).is_err() {
            self.counters.add(TunnelCount::Unsent);
        }
    }

    fn send_echo(&self, peer: SocketAddrV4, header: &FrameHeader) {
        if header.echo.is_some() {
            let echo = FrameHeader::new(FrameKind::Echo, header.service, header.caller)
                .with_echo(header.echo);
            self.send_frame(peer, &echo, &[]);
        }
    }

    fn send_frame(&self, peer: SocketAddrV4, header: &FrameHeader, payload: &[u8]) {
        if self.try_send_frame(peer, header, payload).is_err() {
            self.counters.add(TunnelCount::Unsent);
        }
    }

    fn try_send_frame(
        &self,
        peer: SocketAddrV4,
        header: &FrameHeader,
        payload: &[u8],
    ) -> io::Result<()> {
        let mut frame = Vec::with_capacity(LONGEST_FRAME_BYTES);
        header.write(payload, &self.secret.keys(), &mut frame);
        self.io
            .try_send_to(&frame, SocketAddr::V4(peer))
            .map(|_| ())
    }

    /// Returns how to send an answer to `caller` now.
    fn choose_path(&self, caller: SocketAddrV4, now: ClockMillis) -> Option<FrameAddress> {
        let choice = self.lock_paths().choose(caller, now)?;
        if let Some(balancer) = choice.left {
            self.counters.add(TunnelCount::LeftPath);
            log_event!(warn, AgentEvent::PathLeft, %balancer);
        }
        Some(FrameAddress {
            balancer: choice.balancer,
            echo: choice.echo,
        })
    }

    fn lock_paths(&self) -> MutexGuard<'_, AnswerPaths> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_loads(&self) -> MutexGuard<'_, HashMap<TargetKey, PeerLoad>> {
        self.peer_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Where an answer goes and whether its frame asks for an echo.
struct FrameAddress {
    balancer: SocketAddrV4,
    echo: Option<u16>,
}

impl AsyncUdpSocket for TunnelSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(TunnelPoller::new(Arc::clone(&self.io)))
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let SocketAddr::V4(caller) = transmit.destination else {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        };
        let Some(path) = self.choose_path(caller, self.clock.now()) else {
            // The endpoint sends again later, as for any lost packet.
            self.counters.add(TunnelCount::Unsent);
            return Ok(());
        };
        let header = FrameHeader::new(FrameKind::Answer, self.identity.service, caller)
            .with_echo(path.echo)
            .with_ecn(transmit.ecn.map_or(0, |ecn| ecn as u8));
        match self.try_send_frame(path.balancer, &header, transmit.contents) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            Err(_) => {
                self.counters.add(TunnelCount::Unsent);
                Ok(())
            }
            Ok(()) => {
                self.counters.add(TunnelCount::Answered);
                Ok(())
            }
        }
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut bytes = [0; LONGEST_FRAME_BYTES];
        loop {
            let mut frame = ReadBuf::new(&mut bytes);
            let source = match ready!(self.io.poll_recv_from(context, &mut frame)) {
                Ok(SocketAddr::V4(source)) => source,
                // An unreachable peer shows up here; it concerns no caller.
                Ok(SocketAddr::V6(_)) | Err(_) => continue,
            };
            let Some((header, datagram)) = self.take_frame(source, frame.filled()) else {
                continue;
            };
            let Some(buffer) = buffers[0].get_mut(..datagram.len()) else {
                continue;
            };
            buffer.copy_from_slice(datagram);
            self.counters.add(TunnelCount::Delivered);
            meta[0] = RecvMeta {
                addr: SocketAddr::V4(header.caller),
                len: datagram.len(),
                stride: datagram.len(),
                ecn: EcnCodepoint::from_bits(header.ecn),
                dst_ip: None,
            };
            return Poll::Ready(Ok(1));
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    fn may_fragment(&self) -> bool {
        false
    }
}

impl fmt::Debug for TunnelSocket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("TunnelSocket")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

fn read_address(bytes: &[u8]) -> SocketAddrV4 {
    let ip = std::net::Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]);
    SocketAddrV4::new(ip, u16::from_be_bytes([bytes[4], bytes[5]]))
}
