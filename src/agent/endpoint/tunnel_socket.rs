use std::{
    collections::HashMap,
    fmt, io,
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::{net::UdpSocket, sync::mpsc};

use super::{
    AnswerPaths, FirstPacketGate, LoadGauge, ResetWriter, TargetIdentity, TunnelCounters,
    tunnel_counters::CounterKind,
};
use crate::{
    agent::admission::{AdmissionGate, AdmissionVerdict, AgentPhase, PeerLoad},
    clock::ProcessClock,
    key::TargetKey,
    secret::SecretStore,
    tunnel::{FrameHeader, FrameKind},
};

/// The longest frame that is received, in bytes.
pub(super) const MAX_FRAME_BYTES: usize = 2_048;
/// The capacity of the inbox of peers' messages; further ones are dropped.
pub(crate) const PEER_INBOX_CAPACITY: usize = 1_024;

/// A message of another agent of the deployment.
#[derive(Debug)]
pub(crate) struct PeerDatagram {
    /// The sender's target.
    pub(crate) source: TargetKey,
    /// The encoded message.
    pub(crate) payload: Vec<u8>,
}

/// The agent's end of the tunnel, used as the socket of its QUIC endpoint.
///
/// Balancers wrap the callers' datagrams in frames; the endpoint sees the
/// callers' own addresses. Answers go back in frames through any live balancer.
pub(crate) struct TunnelSocket {
    pub(super) io: Arc<UdpSocket>,
    pub(super) identity: TargetIdentity,
    pub(super) secret: SecretStore,
    pub(super) clock: ProcessClock,
    pub(super) gate: FirstPacketGate,
    pub(super) load_gauge: Arc<LoadGauge>,
    pub(super) counters: TunnelCounters,
    paths: Mutex<AnswerPaths>,
    peer_loads: Mutex<HashMap<TargetKey, PeerLoad>>,
    /// Peers that accept connections.
    successors: Mutex<Vec<TargetKey>>,
    reset_writer: ResetWriter,
    pub(super) inbox: mpsc::Sender<PeerDatagram>,
}

impl TunnelSocket {
    /// Wraps a bound socket; messages of peers go to `inbox`.
    pub(crate) fn new(
        io: UdpSocket,
        identity: TargetIdentity,
        secret: SecretStore,
        gate: AdmissionGate,
        load_gauge: Arc<LoadGauge>,
        inbox: mpsc::Sender<PeerDatagram>,
    ) -> Self {
        Self {
            io: Arc::new(io),
            identity,
            reset_writer: ResetWriter::new(secret.clone()),
            secret,
            clock: ProcessClock::new(),
            gate: FirstPacketGate::new(gate),
            load_gauge,
            counters: TunnelCounters::default(),
            paths: Mutex::new(AnswerPaths::new()),
            peer_loads: Mutex::new(HashMap::new()),
            successors: Mutex::new(Vec::new()),
            inbox,
        }
    }

    /// Returns the identity of this agent.
    pub(crate) fn identity(&self) -> TargetIdentity {
        self.identity
    }

    /// Returns the clock for all decisions of the endpoint.
    pub(crate) fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// Returns the counters.
    pub(crate) fn counters(&self) -> &TunnelCounters {
        &self.counters
    }

    /// Returns each balancer and whether its path is usable, for a dump.
    pub(crate) fn list_paths(&self) -> Vec<(SocketAddrV4, bool)> {
        self.lock_paths().list(self.clock.now())
    }

    /// Sets the phase that decides on new connections.
    pub(crate) fn set_phase(&self, phase: AgentPhase) {
        self.gate.set_phase(phase);
    }

    /// Returns the current phase.
    pub(crate) fn phase(&self) -> AgentPhase {
        self.gate.lock().phase(self.clock.now())
    }

    /// Returns the counts of the admission gate.
    pub(crate) fn admission_counts(&self) -> crate::agent::admission::AdmissionCounts {
        self.gate.lock().counts()
    }

    /// Returns the verdict on a connection attempt at the endpoint.
    pub(crate) fn verdict(&self, destination: &[u8]) -> AdmissionVerdict {
        self.gate
            .verdict(destination, &self.load_gauge, self.clock.now())
    }

    /// Stores a peer's load report.
    pub(crate) fn set_peer_load(&self, peer: TargetKey, load: PeerLoad) {
        self.lock_loads().insert(peer, load);
    }

    /// Returns a peer's last load report.
    pub(crate) fn peer_load(&self, peer: TargetKey) -> Option<PeerLoad> {
        self.lock_loads().get(&peer).copied()
    }

    /// Sets the peers that accept connections in place of this agent when it leaves.
    pub(crate) fn set_successors(&self, peers: Vec<TargetKey>) {
        *self.lock_successors() = peers;
    }

    pub(super) fn lock_successors(&self) -> MutexGuard<'_, Vec<TargetKey>> {
        self.successors
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes the load reports of peers that are no longer registered.
    pub(crate) fn retain_peer_loads(&self, is_registered: impl Fn(TargetKey) -> bool) {
        self.lock_loads().retain(|peer, _| is_registered(*peer));
    }

    /// Sends a message to another agent, without a guarantee of delivery.
    pub(crate) fn send_peer(&self, peer: TargetKey, payload: &[u8]) {
        let header = FrameHeader::new(
            FrameKind::Peer,
            self.identity.service,
            self.identity.target.address(),
        );
        self.send_frame(peer.address(), &header, payload);
    }

    /// Removes idle paths and probes unconfirmed and silent ones.
    pub(crate) fn maintain_paths(&self) {
        let now = self.clock.now();
        let probes = {
            let mut paths = self.lock_paths();
            paths.remove_idle(now);
            paths.due_probes(now)
        };
        for (balancer, number) in probes {
            let header = FrameHeader::new(FrameKind::Probe, self.identity.service, balancer)
                .with_echo(Some(number));
            self.send_frame(balancer, &header, &[]);
        }
    }

    /// Sends a stateless reset for `datagram` through `balancer`.
    pub(super) fn send_reset(&self, balancer: SocketAddrV4, header: &FrameHeader, datagram: &[u8]) {
        let Some(reset) = self.reset_writer.write(datagram, self.clock.now()) else {
            return;
        };
        let answer = FrameHeader::new(FrameKind::Answer, header.service, header.caller);
        self.send_frame(balancer, &answer, &reset);
        self.counters.increment(CounterKind::Reset);
    }

    /// Echoes the number of a frame, if it carries one.
    pub(super) fn send_echo(&self, peer: SocketAddrV4, header: &FrameHeader) {
        if header.echo.is_some() {
            let echo = FrameHeader::new(FrameKind::Echo, header.service, header.caller)
                .with_echo(header.echo);
            self.send_frame(peer, &echo, &[]);
        }
    }

    /// Sends a frame; counts it as unsent on failure.
    pub(super) fn send_frame(&self, peer: SocketAddrV4, header: &FrameHeader, payload: &[u8]) {
        if self.try_send_frame(peer, header, payload).is_err() {
            self.counters.increment(CounterKind::Unsent);
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
        let mut frame = Vec::with_capacity(MAX_FRAME_BYTES);
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
