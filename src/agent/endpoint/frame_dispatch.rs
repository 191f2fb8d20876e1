use std::net::{Ipv4Addr, SocketAddrV4};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    FirstPacketVerdict, PeerDatagram, TunnelSocket, next_candidates::NextCandidates,
    tunnel_counters::CounterKind,
};
use crate::{
    agent::AgentEvent,
    event::log_event,
    key::TargetKey,
    route::{ConnectionRoute, HeaderForm, PacketHeader, TargetChain},
    tunnel::{FrameHeader, FrameKind},
};

/// The length of the balancer's address before a passed-on datagram.
const ADDRESS_BYTES: usize = 6;

/// Handling of received frames.
impl TunnelSocket {
    /// Handles a frame; returns its header and the datagram for the endpoint.
    pub(super) fn handle_frame<'a>(
        &self,
        source: SocketAddrV4,
        frame: &'a [u8],
    ) -> Option<(FrameHeader, &'a [u8])> {
        let read = FrameHeader::read(frame, &self.secret.keys());
        let (header, payload) = match read {
            Ok(frame) => frame,
            Err(error) => {
                self.counters.increment(CounterKind::BadFrame);
                log_event!(debug, AgentEvent::FrameRefused, %source, %error);
                return None;
            }
        };
        match header.kind {
            FrameKind::Forward => self.handle_forward(source, header, payload),
            FrameKind::PassOn => self.handle_passed_on(header, payload),
            FrameKind::Probe => {
                self.send_echo(source, &header);
                None
            }
            FrameKind::Echo => {
                self.record_echo(source, &header);
                None
            }
            FrameKind::Peer => {
                self.handle_peer_message(source, payload);
                None
            }
            FrameKind::Leave => {
                self.lock_paths().remove(source);
                None
            }
            FrameKind::Answer => {
                self.counters.increment(CounterKind::BadFrame);
                None
            }
        }
    }

    fn handle_forward<'a>(
        &self,
        balancer: SocketAddrV4,
        header: FrameHeader,
        datagram: &'a [u8],
    ) -> Option<(FrameHeader, &'a [u8])> {
        self.lock_paths().record_frame(balancer, self.clock.now());
        self.send_echo(balancer, &header);
        self.route_datagram(balancer, header, datagram)
    }

    fn handle_passed_on<'a>(
        &self,
        header: FrameHeader,
        payload: &'a [u8],
    ) -> Option<(FrameHeader, &'a [u8])> {
        let (address, datagram) = payload.split_at_checked(ADDRESS_BYTES)?;
        let balancer = parse_address(address);
        self.lock_paths().record_frame(balancer, self.clock.now());
        self.route_datagram(balancer, header, datagram)
    }

    /// Checks that a datagram is for this agent, and gates first packets.
    fn route_datagram<'a>(
        &self,
        balancer: SocketAddrV4,
        header: FrameHeader,
        datagram: &'a [u8],
    ) -> Option<(FrameHeader, &'a [u8])> {
        let packet = PacketHeader::read(datagram)?;
        let route = ConnectionRoute::open(packet.destination, &self.secret.keys());
        if header.service != self.identity.service {
            self.refuse_service(balancer, &header, route, datagram);
            return None;
        }
        match route {
            Some(route) => self.belongs_here(route).then_some((header, datagram)),
            None => self.apply_gate(balancer, header, &packet, datagram),
        }
    }

    /// Refuses a datagram for another service.
    ///
    /// If its connection belonged to an earlier target at this address, that
    /// target is gone, and the caller gets a stateless reset.
    fn refuse_service(
        &self,
        balancer: SocketAddrV4,
        header: &FrameHeader,
        route: Option<ConnectionRoute>,
        datagram: &[u8],
    ) {
        self.counters.increment(CounterKind::OtherService);
        log_event!(debug, AgentEvent::OtherService, service = %header.service);
        let ended_here = route.is_some_and(|route| {
            route.service == header.service && route.target == self.identity.target
        });
        if ended_here {
            self.send_reset(balancer, header, datagram);
        }
    }

    fn belongs_here(&self, route: ConnectionRoute) -> bool {
        if route.service != self.identity.service || route.target != self.identity.target {
            self.counters.increment(CounterKind::OtherTarget);
            log_event!(debug, AgentEvent::OtherTarget, target = %route.target);
            return false;
        }
        if route.incarnation_tag != self.identity.incarnation.tag() {
            // The endpoint does not know the ID and sends a stateless reset.
            self.counters.increment(CounterKind::OtherIncarnation);
        }
        true
    }

    fn apply_gate<'a>(
        &self,
        balancer: SocketAddrV4,
        header: FrameHeader,
        packet: &PacketHeader<'_>,
        datagram: &'a [u8],
    ) -> Option<(FrameHeader, &'a [u8])> {
        if packet.form == HeaderForm::Short {
            return Some((header, datagram));
        }
        let candidates = self.next_candidates(packet.destination, header.chain);
        let next_load = candidates
            .chain()
            .split_first()
            .and_then(|(next, _)| self.lock_loads().get(&next).copied());
        let verdict = self.gate.decide(
            packet.destination,
            candidates.chain(),
            next_load,
            &self.load_gauge,
            self.clock.now(),
        );
        match verdict {
            FirstPacketVerdict::Deliver => Some((header, datagram)),
            FirstPacketVerdict::PassOn { next, rest } => {
                let rest = candidates.after_next(rest);
                self.pass_on(balancer, &header, next, rest, datagram);
                None
            }
        }
    }

    /// Returns the candidates after this agent; copies of a first packet, which have
    /// the same `destination`, get the same successor.
    fn next_candidates(&self, destination: &[u8], named: TargetChain) -> NextCandidates {
        let own = self.identity.target;
        let hash = xxh3_64(destination);
        NextCandidates::new(named, own, self.phase(), &self.lock_successors(), hash)
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
        self.counters.increment(CounterKind::PassedOn);
    }

    fn record_echo(&self, balancer: SocketAddrV4, header: &FrameHeader) {
        if let Some(number) = header.echo {
            self.lock_paths().record_echo(balancer, number);
        }
    }

    fn handle_peer_message(&self, source: SocketAddrV4, payload: &[u8]) {
        let datagram = PeerDatagram {
            source: TargetKey::new(source),
            payload: payload.to_vec(),
        };
        if self.inbox.try_send(datagram).is_err() {
            self.counters.increment(CounterKind::Unsent);
        }
    }
}

fn parse_address(bytes: &[u8]) -> SocketAddrV4 {
    let ip = Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]);
    SocketAddrV4::new(ip, u16::from_be_bytes([bytes[4], bytes[5]]))
}
