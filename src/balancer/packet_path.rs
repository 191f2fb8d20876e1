use std::{
    io,
    net::{Ipv4Addr, SocketAddrV4},
    sync::{Arc, Mutex, PoisonError},
};

use arc_swap::ArcSwap;

use super::{
    BalancerEvent, DropCause, ForwardVerdict, ListenerSet, PacketCounters, decide_datagram,
    packet_counters::CounterKind,
};
use crate::{
    clock::ProcessClock,
    event::log_event,
    key::{ServiceNumber, TargetKey},
    route::{RouteTable, TargetChain},
    secret::SecretStore,
    tunnel::{DatagramSocket, FrameHeader, FrameKind, PathTable, ReceivedDatagram},
};

/// Shared state of the packet path tasks.
#[derive(Debug)]
pub(crate) struct PacketPath {
    clock: ProcessClock,
    secret: SecretStore,
    table: Arc<ArcSwap<RouteTable>>,
    listeners: Arc<ListenerSet>,
    tunnel_sockets: Vec<DatagramSocket>,
    paths: Mutex<PathTable>,
    counters: PacketCounters,
}

/// Reusable frame buffer of one task.
#[derive(Debug, Default)]
pub(crate) struct FrameBuffer {
    frame: Vec<u8>,
}

impl PacketPath {
    /// Binds the tunnel's source ports.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be bound.
    pub(crate) fn new(
        secret: SecretStore,
        table: Arc<ArcSwap<RouteTable>>,
        listeners: Arc<ListenerSet>,
        tunnel_ip: Ipv4Addr,
        tunnel_ports: usize,
    ) -> io::Result<Self> {
        let tunnel_sockets = (0..tunnel_ports)
            .map(|_| DatagramSocket::bind(SocketAddrV4::new(tunnel_ip, 0)))
            .collect::<io::Result<Vec<_>>>()?;
        Ok(Self {
            clock: ProcessClock::new(),
            secret,
            table,
            listeners,
            paths: Mutex::new(PathTable::new(tunnel_sockets.len())),
            tunnel_sockets,
            counters: PacketCounters::new(),
        })
    }

    /// Returns the tunnel's sockets, one for each source port.
    pub(crate) fn tunnel_sockets(&self) -> &[DatagramSocket] {
        &self.tunnel_sockets
    }

    /// Returns the packet counters.
    pub(crate) fn counters(&self) -> &PacketCounters {
        &self.counters
    }

    /// Returns the number of agents with monitored paths.
    pub(crate) fn watched_paths(&self) -> usize {
        self.lock_paths().len()
    }

    /// Removes the paths that have been unused for too long.
    pub(crate) fn remove_idle_paths(&self) {
        self.lock_paths().remove_idle(self.clock.now());
    }

    /// Tells the agents in use to send their answers through other balancers.
    pub(crate) fn announce_leave(&self, frame_buffer: &mut FrameBuffer) {
        let peers = self.lock_paths().peers();
        for (agent, port) in peers {
            FrameHeader::new(FrameKind::Leave, ServiceNumber::new(0), agent).write(
                &[],
                &self.secret.keys(),
                &mut frame_buffer.frame,
            );
            let socket = &self.tunnel_sockets[port];
            if socket
                .try_send(agent, &frame_buffer.frame, 0, None)
                .is_err()
            {
                self.counters.increment(CounterKind::Unsent);
            }
        }
    }

    /// Sends the probes that are due to agents with unconfirmed or silent paths.
    pub(crate) fn send_due_probes(&self, frame_buffer: &mut FrameBuffer) {
        let probes = self.lock_paths().due_probes(self.clock.now());
        for (agent, choice) in probes {
            FrameHeader::new(FrameKind::Probe, ServiceNumber::new(0), agent)
                .with_echo(choice.echo)
                .write(&[], &self.secret.keys(), &mut frame_buffer.frame);
            let socket = &self.tunnel_sockets[choice.port];
            if socket
                .try_send(agent, &frame_buffer.frame, 0, None)
                .is_err()
            {
                self.counters.increment(CounterKind::Unsent);
            }
        }
    }

    /// Forwards a caller's datagram to an agent or drops it.
    pub(crate) fn forward(
        &self,
        arrived_at: SocketAddrV4,
        datagram: &ReceivedDatagram<'_>,
        frame_buffer: &mut FrameBuffer,
    ) {
        let verdict = {
            let table = self.table.load();
            let keys = self.secret.keys();
            decide_datagram(&table, &keys, arrived_at, datagram.payload)
        };
        match verdict {
            ForwardVerdict::Known { service, target } => {
                self.counters.increment(CounterKind::Known);
                self.send_frame(service, target, TargetChain::new(), datagram, frame_buffer);
            }
            ForwardVerdict::First { service, chain } => {
                self.counters.increment(CounterKind::First);
                self.send_first_packet(service, chain, datagram, frame_buffer);
            }
            ForwardVerdict::Drop(cause) => self.drop_datagram(cause, arrived_at, datagram),
        }
    }

    /// Handles a frame from an agent that arrived on the source port with index `port`.
    pub(crate) fn handle_frame(
        &self,
        port: usize,
        received: &ReceivedDatagram<'_>,
        frame_buffer: &mut FrameBuffer,
    ) {
        let read = FrameHeader::read(received.payload, &self.secret.keys());
        let (header, payload) = match read {
            Ok(frame) => frame,
            Err(error) => {
                self.counters.increment(CounterKind::BadFrame);
                log_event!(debug, BalancerEvent::FrameRefused, source = %received.source, %error);
                return;
            }
        };
        match header.kind {
            FrameKind::Answer => {
                self.forward_answer(port, received.source, &header, payload, frame_buffer);
            }
            FrameKind::Echo => self.record_echo(received.source, &header),
            FrameKind::Probe => self.send_echo(port, received.source, &header, frame_buffer),
            FrameKind::Forward | FrameKind::PassOn | FrameKind::Peer | FrameKind::Leave => {
                self.counters.increment(CounterKind::BadFrame);
            }
        }
    }

    fn send_first_packet(
        &self,
        service: ServiceNumber,
        chain: TargetChain,
        datagram: &ReceivedDatagram<'_>,
        frame_buffer: &mut FrameBuffer,
    ) {
        let now = self.clock.now();
        let ordered = {
            let paths = self.lock_paths();
            chain.with_suspects_last(|target| paths.is_unconfirmed(target.address(), now))
        };
        if let Some((target, rest)) = ordered.split_first() {
            self.send_frame(service, target, rest, datagram, frame_buffer);
        }
    }

    fn send_frame(
        &self,
        service: ServiceNumber,
        target: TargetKey,
        rest: TargetChain,
        datagram: &ReceivedDatagram<'_>,
        frame_buffer: &mut FrameBuffer,
    ) {
        let choice = self.lock_paths().choose(target.address(), self.clock.now());
        if choice.moved {
            self.counters.increment(CounterKind::MovedPath);
            log_event!(warn, BalancerEvent::PathLeft, %target, port = choice.port);
        }
        FrameHeader::new(FrameKind::Forward, service, datagram.source)
            .with_chain(rest)
            .with_echo(choice.echo)
            .with_ecn(datagram.ecn)
            .write(
                datagram.payload,
                &self.secret.keys(),
                &mut frame_buffer.frame,
            );
        let socket = &self.tunnel_sockets[choice.port];
        if socket
            .try_send(target.address(), &frame_buffer.frame, datagram.ecn, None)
            .is_err()
        {
            self.counters.increment(CounterKind::Unsent);
        }
    }

    fn forward_answer(
        &self,
        port: usize,
        agent: SocketAddrV4,
        header: &FrameHeader,
        payload: &[u8],
        frame_buffer: &mut FrameBuffer,
    ) {
        self.send_echo(port, agent, header, frame_buffer);
        let table = self.table.load();
        let Some(pool) = table.pool(header.service) else {
            self.counters.increment_drop(DropCause::UnknownAddress);
            return;
        };
        let address = pool.route().spec.address;
        match self
            .listeners
            .send(address, header.caller, payload, header.ecn)
        {
            Ok(()) => self.counters.increment(CounterKind::Answered),
            Err(_) => self.counters.increment(CounterKind::Unsent),
        }
    }

    fn send_echo(
        &self,
        port: usize,
        agent: SocketAddrV4,
        header: &FrameHeader,
        frame_buffer: &mut FrameBuffer,
    ) {
        if header.echo.is_none() {
            return;
        }
        FrameHeader::new(FrameKind::Echo, header.service, header.caller)
            .with_echo(header.echo)
            .write(&[], &self.secret.keys(), &mut frame_buffer.frame);
        if self.tunnel_sockets[port]
            .try_send(agent, &frame_buffer.frame, 0, None)
            .is_err()
        {
            self.counters.increment(CounterKind::Unsent);
        }
    }

    fn record_echo(&self, agent: SocketAddrV4, header: &FrameHeader) {
        if let Some(number) = header.echo {
            self.lock_paths().record_echo(agent, number);
        }
    }

    fn drop_datagram(
        &self,
        cause: DropCause,
        arrived_at: SocketAddrV4,
        datagram: &ReceivedDatagram<'_>,
    ) {
        self.counters.increment_drop(cause);
        log_event!(
            debug,
            BalancerEvent::DatagramDropped,
            ?cause,
            source = %datagram.source,
            %arrived_at
        );
    }

    fn lock_paths(&self) -> std::sync::MutexGuard<'_, PathTable> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
