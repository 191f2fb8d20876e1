use std::net::Ipv4Addr;

use crate::{
    clock::SpanMillis,
    listener::{RouteUrgency, ServiceTag},
};

/// The first byte of a frame.
const MAGIC: u8 = 0xCA;
/// Length of the fixed part: magic, hops, candidate count, rank, service, balancer,
/// goal, timeout, lookup id and age.
const FIXED_BYTES: usize = 26;
/// Maximum number of candidates in a frame.
pub(crate) const MAX_CANDIDATES: usize = 24;

/// Header in front of a packet that is sent from a balancer to an agent or
/// between agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HopHeader {
    /// The service whose targets may take the packet.
    pub(crate) service: ServiceTag,
    /// The balancer that received the packet from the caller and gets the reports.
    pub(crate) balancer: Ipv4Addr,
    /// The number of times that the packet was passed on.
    pub(crate) hops: u8,
    /// The round of the owner lookup that the packet belongs to, zero without one.
    /// Reports repeat it, so that late ones are recognised. An opening has a number if
    /// its balancer sent it on because an earlier agent was silent.
    pub(crate) lookup_id: u32,
    /// The time from the caller first sending the opening to the balancer first
    /// forwarding it.
    pub(crate) age: SpanMillis,
    /// The urgency of the route's requests; frames cap its times at 65.535 s.
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
            lookup_id: 0,
            age: SpanMillis::ZERO,
            urgency: RouteUrgency::default(),
            candidates: [Ipv4Addr::UNSPECIFIED; MAX_CANDIDATES],
            count: 0,
        }
    }

    /// Returns whether an opening that no candidate takes may be reset: no agent that
    /// got it before may hold its flow.
    pub(crate) fn may_reset_opening(&self) -> bool {
        self.lookup_id == 0
    }

    /// Sets the round of the owner lookup.
    pub(crate) fn with_lookup_id(mut self, lookup_id: u32) -> Self {
        self.lookup_id = lookup_id;
        self
    }

    /// Sets the time since the caller first sent the opening.
    pub(crate) fn with_age(mut self, age: SpanMillis) -> Self {
        self.age = age;
        self
    }

    /// Sets the urgency of the route's requests.
    pub(crate) fn with_urgency(mut self, urgency: RouteUrgency) -> Self {
        self.urgency = urgency;
        self
    }

    /// Sets the agents to try next, in this order; those after the first
    /// [`MAX_CANDIDATES`] are left out.
    pub(crate) fn with_candidates(mut self, agents: impl IntoIterator<Item = Ipv4Addr>) -> Self {
        self.count = 0;
        for agent in agents.into_iter().take(MAX_CANDIDATES) {
            self.candidates[usize::from(self.count)] = agent;
            self.count += 1;
        }
        self
    }

    /// Returns the agents to try next.
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

    /// Replaces the contents of `out` by the frame of `packet`.
    pub(crate) fn encode(&self, packet: &[u8], out: &mut Vec<u8>) {
        out.clear();
        out.extend_from_slice(&[MAGIC, self.hops, self.count, self.urgency.rank]);
        out.extend_from_slice(&self.service.number().to_be_bytes());
        out.extend_from_slice(&self.balancer.octets());
        out.extend_from_slice(&encode_span(self.urgency.goal));
        out.extend_from_slice(&encode_span(self.urgency.timeout));
        out.extend_from_slice(&self.lookup_id.to_be_bytes());
        out.extend_from_slice(&encode_span(self.age));
        for agent in self.candidates() {
            out.extend_from_slice(&agent.octets());
        }
        out.extend_from_slice(packet);
    }
}

/// A received frame.
#[derive(Debug)]
pub(crate) struct HopFrame<'a> {
    pub(crate) header: HopHeader,
    /// The packet as its original sender wrote it.
    pub(crate) packet: &'a mut [u8],
}

impl<'a> HopFrame<'a> {
    /// Decodes a frame; returns `None` if the bytes are not a valid one.
    pub(crate) fn decode(bytes: &'a mut [u8]) -> Option<Self> {
        let (fixed, rest) = bytes.split_at_mut_checked(FIXED_BYTES)?;
        let [MAGIC, hops, count, rank, ..] = *fixed else {
            return None;
        };
        let candidate_count = usize::from(count);
        if candidate_count > MAX_CANDIDATES {
            return None;
        }
        let (candidates, packet) = rest.split_at_mut_checked(candidate_count * 4)?;
        let service = u64::from_be_bytes(fixed[4..12].try_into().ok()?);
        let balancer: [u8; 4] = fixed[12..16].try_into().ok()?;
        let span_at = |offset: usize| {
            SpanMillis::new(u16::from_be_bytes([fixed[offset], fixed[offset + 1]]).into())
        };
        let lookup_id = u32::from_be_bytes(fixed[20..24].try_into().ok()?);
        let urgency = RouteUrgency {
            rank,
            goal: span_at(16),
            timeout: span_at(18),
        };
        let agents = candidates
            .chunks_exact(4)
            .map(|octets| Ipv4Addr::new(octets[0], octets[1], octets[2], octets[3]));
        let mut header = HopHeader::new(ServiceTag::from_number(service), balancer.into())
            .with_urgency(urgency)
            .with_lookup_id(lookup_id)
            .with_age(span_at(24))
            .with_candidates(agents);
        header.hops = hops;
        Some(Self { header, packet })
    }
}

/// Encodes a span as milliseconds, capped at 65.535 s.
fn encode_span(span: SpanMillis) -> [u8; 2] {
    u16::try_from(span.millis())
        .unwrap_or(u16::MAX)
        .to_be_bytes()
}
