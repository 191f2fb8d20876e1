use std::{
    collections::HashMap,
    fmt, io,
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::{net::UdpSocket, sync::mpsc};

use super::{
    AnswerPaths, FirstPacketGate, LoadGauge, ResetWriter, TargetIdentity, TunnelCounters,
    tunnel_counters::TunnelCount,
};
use crate::{
    agent::admission::{AdmissionGate, AdmissionVerdict, AgentPhase, PeerLoad},
    clock::ProcessClock,
    key::TargetKey,
    secret::SecretStore,
    tunnel::{FrameHeader, FrameKind},
};

/// The longest frame that is received, in bytes.
pub(super) const LONGEST_FRAME_BYTES: usize = 2_048;
/// The messages of peers that wait to be taken; more are dropped.
pub(crate) const PEER_INBOX: usize = 1_024;

/// A message of another agent of the deployment.
#[derive(Debug)]
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
    pub(super) io: Arc<UdpSocket>,
    pub(super) identity: TargetIdentity,
    pub(super) secret: SecretStore,
    pub(super) clock: ProcessClock,
    pub(super) gate: FirstPacketGate,
    pub(super) gauge: Arc<LoadGauge>,
    pub(super) counters: TunnelCounters,
    paths: Mutex<AnswerPaths>,
    peer_loads: Mutex<HashMap<TargetKey, PeerLoad>>,
    resets: ResetWriter,
    pub(super) inbox: mpsc::Sender<PeerDatagram>,
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
            resets: ResetWriter::new(secret.clone()),
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
    pub(crate) fn set_peer_load(&self, peer: TargetKey, load: PeerLoad) {
        self.lock_loads().insert(peer, load);
    }

    /// Returns what a peer last told of its load.
    pub(crate) fn peer_load(&self, peer: TargetKey) -> Option<PeerLoad> {
        self.lock_loads().get(&peer).copied()
    }

    /// Forgets what peers told that are no longer registered.
    pub(crate) fn keep_peers(&self, is_registered: impl Fn(TargetKey) -> bool) {
        self.lock_loads().retain(|peer, _| is_registered(*peer));
    }

    /// Sends a message to another agent; it may be lost.
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

    /// Tells a caller that its connection is gone, by the balancer that asked.
    pub(super) fn send_reset(&self, balancer: SocketAddrV4, header: &FrameHeader, datagram: &[u8]) {
        let Some(reset) = self.resets.write(datagram, self.clock.now()) else {
            return;
        };
        let answer = FrameHeader::new(FrameKind::Answer, header.service, header.caller);
        self.send_frame(balancer, &answer, &reset);
        self.counters.add(TunnelCount::Reset);
    }

    /// Echoes the number of a frame, if it asks for that.
    pub(super) fn send_echo(&self, peer: SocketAddrV4, header: &FrameHeader) {
        if header.echo.is_some() {
            let echo = FrameHeader::new(FrameKind::Echo, header.service, header.caller)
                .with_echo(header.echo);
            self.send_frame(peer, &echo, &[]);
        }
    }

    /// Sends a frame; it may be lost.
    pub(super) fn send_frame(&self, peer: SocketAddrV4, header: &FrameHeader, payload: &[u8]) {
        if self.try_send_frame(peer, header, payload).is_err() {
            self.counters.add(TunnelCount::Unsent);
        }
    }

    /// Sends a frame without waiting.
    ///
    /// # Errors
    ///
    /// Fails when the kernel's buffer is full or the peer can't be reached.
    pub(super) fn try_send_frame(
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

    pub(super) fn lock_paths(&self) -> MutexGuard<'_, AnswerPaths> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn lock_loads(&self) -> MutexGuard<'_, HashMap<TargetKey, PeerLoad>> {
        self.peer_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
