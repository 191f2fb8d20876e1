use std::net::Ipv4Addr;

use crate::{
    clock::SpanMillis,
    listener::{RouteUrgency, ServiceTag},
};

/// The first byte of a frame.
const MAGIC: u8 = 0xCA;
/// Magic, hops, candidates, rank, service, balancer, goal, timeout, walk and age.
const FIXED_BYTES: usize = 26;
/// The most candidates that a frame carries.
pub(crate) const MAX_CANDIDATES: usize = 8;

/// What travels in front of a packet between balancer and agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HopHeader {
    /// The service whose targets may take the packet.
    pub(crate) service: ServiceTag,
    /// The balancer that took the packet from the network; it gets reports.
    pub(crate) balancer: Ipv4Addr,
    /// The agents that have passed the packet on.
    pub(crate) hops: u8,
    /// The balancer's number of its search for the flow's owner, zero if it does
    /// not search; reports name it, since they may come late.
    pub(crate) walk: u32,
    /// How long ago the caller first sent the opening, when the balancer sent it.
    pub(crate) age: SpanMillis,
    /// How pressing the route's requests are; in frames, times end at 65 s.
    pub(crate) urgency: RouteUrgency,
    candidates: [Ipv4Addr; MAX_CANDIDATES],
    count: u8,
}

impl HopHeader {
    /// Creates a header without candidates.
    pub(crate) fn new(service: ServiceTag, balancer: Ipv4Addr) -> Self {
        Self {
            service,
            balancer,
            hops: 0,
            walk: 0,
            age: SpanMillis::ZERO,
            urgency: RouteUrgency::default(),
            candidates: [Ipv4Addr::UNSPECIFIED; MAX_CANDIDATES],
            count: 0,
        }
    }

    /// Sets the search that the packet belongs to.
    pub(crate) fn with_walk(mut self, walk: u32) -> Self {
        self.walk = walk;
        self
    }

    /// Sets how long ago the caller first sent the opening.
    pub(crate) fn with_age(mut self, age: SpanMillis) -> Self {
        self.age = age;
        self
    }

    /// Sets how pressing the route's requests are.
    pub(crate) fn with_urgency(mut self, urgency: RouteUrgency) -> Self {
        self.urgency = urgency;
        self
    }

    /// Sets who may take the packet next, in this order; those beyond the most
    /// that a frame carries are left out.
    pub(crate) fn with_candidates(mut self, agents: impl IntoIterator<Item = Ipv4Addr>) -> Self {
        self.count = 0;
        for agent in agents.into_iter().take(MAX_CANDIDATES) {
            self.candidates[usize::from(self.count)] = agent;
            self.count += 1;
        }
        self
    }

    /// Returns who may take the packet next.
    pub(crate) fn candidates(&self) -> &[Ipv4Addr] {
        &self.candidates[..usize::from(self.count)]
    }

    /// Returns the next candidate and the header for it.
    pub(crate) fn next_hop(&self) -> Option<(Ipv4Addr, Self)> {
        let (next, rest) = self.candidates().split_first()?;
        let mut header = self.with_candidates(rest.iter().copied());
        header.hops = self.hops.saturating_add(1);
        Some((*next, header))
    }

    /// Writes the frame of `packet` into `out`, which is cleared before.
    pub(crate) fn encode(&self, packet: &[u8], out: &mut Vec<u8>) {
        out.clear();
        out.extend_from_slice(&[MAGIC, self.hops, self.count, self.urgency.rank]);
        out.extend_from_slice(&self.service.number().to_be_bytes());
        out.extend_from_slice(&self.balancer.octets());
        out.extend_from_slice(&frame_span(self.urgency.goal));
        out.extend_from_slice(&frame_span(self.urgency.timeout));
        out.extend_from_slice(&self.walk.to_be_bytes());
        out.extend_from_slice(&frame_span(self.age));
        for agent in self.candidates() {
            out.extend_from_slice(&agent.octets());
        }
        out.extend_from_slice(packet);
    }
}

/// A frame as it was received.
#[derive(Debug)]
pub(crate) struct HopFrame<'a> {
    /// The header.
    pub(crate) header: HopHeader,
    /// The packet as its sender wrote it.
    pub(crate) packet: &'a mut [u8],
}

impl<'a> HopFrame<'a> {
    /// Reads a frame; returns `None` if the bytes are none.
    pub(crate) fn decode(bytes: &'a mut [u8]) -> Option<Self> {
        let (fixed, rest) = bytes.split_at_mut_checked(FIXED_BYTES)?;
        let [MAGIC, hops, count, rank, ..] = *fixed else {
            return None;
        };
        let listed = usize::from(count);
        if listed > MAX_CANDIDATES {
            return None;
        }
        let (list, packet) = rest.split_at_mut_checked(listed * 4)?;
        let service = u64::from_be_bytes(fixed[4..12].try_into().ok()?);
        let balancer: [u8; 4] = fixed[12..16].try_into().ok()?;
        let span_at = |place: usize| {
            SpanMillis::new(u16::from_be_bytes([fixed[place], fixed[place + 1]]).into())
        };
        let walk = u32::from_be_bytes(fixed[20..24].try_into().ok()?);
        let urgency = RouteUrgency {
            rank,
            goal: span_at(16),
            timeout: span_at(18),
        };
        let agents = list
            .chunks_exact(4)
            .map(|octets| Ipv4Addr::new(octets[0], octets[1], octets[2], octets[3]));
        let mut header = HopHeader::new(ServiceTag::from_number(service), balancer.into())
            .with_urgency(urgency)
            .with_walk(walk)
            .with_age(span_at(24))
            .with_candidates(agents);
        header.hops = hops;
        Some(Self { header, packet })
    }
}

fn frame_span(span: SpanMillis) -> [u8; 2] {
    u16::try_from(span.millis())
        .unwrap_or(u16::MAX)
        .to_be_bytes()
}
