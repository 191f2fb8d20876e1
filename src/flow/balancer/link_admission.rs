use std::{
    collections::{HashMap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
};

use super::route_profile::RouteProfile;
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{FULL_PACKET_BYTES, FlowKey, FlowPacket, PacketFlags},
};

/// What a caller sends of a large request before it waits for an acknowledgement:
/// 16 packets with their headers.
const WINDOW_BYTES: u64 = 16 * 1_260;
/// How long the packets of large requests may queue at the link. Urgent packets wait in
/// the same queue, and with two windows at a time on a link of 5 Mbit/s, 64 ms, packets
/// of all requests were lost and sent again after 200 ms.
const MAX_QUEUE_MILLIS: SpanMillis = SpanMillis::new(40);
/// How long an opening waits for its turn: less than the 200 ms after which its caller
/// sends it again.
const MAX_WAIT_MILLIS: SpanMillis = SpanMillis::new(150);
/// How long the opening of a caller waits that was refused here before; it would lose
/// its next try as well.
const REPEATED_WAIT_MILLIS: SpanMillis = SpanMillis::new(600);
/// How long a refusal is remembered.
const REFUSAL_RETENTION_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// Maximum number of openings that wait; each takes the link for a tenth of a second
/// on the thinnest links.
const MAX_WAITING: usize = 8;
/// Maximum number of refused callers that are remembered.
const MAX_REFUSED: usize = 1_024;
/// Maximum number of routes with a profile.
const MAX_PROFILES: usize = 4_096;
/// Silence after which a large request no longer counts: its packets were lost, or
/// its last one was, and the caller retransmits with growing intervals.
const IDLE_MILLIS: SpanMillis = SpanMillis::new(400);

/// What to do with an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkVerdict {
    /// Forward it now.
    Admit,
    /// It waits for its turn.
    Wait,
    /// Refuse it: the link can't carry its request in time, another VM's may.
    Refuse,
}

/// An opening that waits for its turn on the link.
#[derive(Debug, Clone, PartialEq, Eq)]
struct WaitingOpening {
    flow: FlowKey,
    /// The packet as the caller sent it.
    packet: Vec<u8>,
    arrived_at: ClockMillis,
    refuse_at: ClockMillis,
}

/// An opening whose wait has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndedWait {
    pub(crate) flow: FlowKey,
    /// The packet as the caller sent it.
    pub(crate) packet: Vec<u8>,
    /// How long it waited.
    pub(crate) waited: SpanMillis,
    /// Whether the link can carry its request now; it is refused otherwise.
    pub(crate) admitted: bool,
}

/// Bounds the large requests that cross a VM's link at the same time.
///
/// Callers send a full window whatever the link carries. More large requests than
/// fit delay every packet beyond the callers' retransmission timers, and the link
/// then carries copies. Routes of small requests are never held up.
#[derive(Debug)]
pub(crate) struct LinkAdmission {
    max_under_way: usize,
    profiles: HashMap<SocketAddrV4, RouteProfile>,
    /// When each large request under way was last heard of.
    under_way: HashMap<FlowKey, ClockMillis>,
    waiting: VecDeque<WaitingOpening>,
    refused: HashMap<Ipv4Addr, ClockMillis>,
}

impl LinkAdmission {
    /// Creates the admission for a link of `bytes_per_second`.
    pub(crate) fn new(bytes_per_second: u64) -> Self {
        let queue_bytes = bytes_per_second.saturating_mul(MAX_QUEUE_MILLIS.millis()) / 1_000;
        let max_under_way = usize::try_from(queue_bytes / WINDOW_BYTES).unwrap_or(usize::MAX);
        Self {
            max_under_way: max_under_way.max(1),
            profiles: HashMap::new(),
            under_way: HashMap::new(),
            waiting: VecDeque::new(),
            refused: HashMap::new(),
        }
    }

    /// Decides on the opening of a flow; a waiting one is kept here.
    pub(crate) fn offer(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: ClockMillis,
    ) -> LinkVerdict {
        let flow = packet.caller_flow();
        let profile = self.profiles.get(&flow.listener);
        if !profile.is_some_and(|profile| profile.has_large_requests())
            || self.under_way.contains_key(&flow)
        {
            return LinkVerdict::Admit;
        }
        if self.waiting.iter().any(|waiting| waiting.flow == flow) {
            return LinkVerdict::Wait;
        }
        if self.waiting.is_empty() && self.has_room(now) {
            self.under_way.insert(flow, now);
            return LinkVerdict::Admit;
        }
        if self.waiting.len() >= MAX_WAITING {
            self.note_refusal(flow, now);
            return LinkVerdict::Refuse;
        }
        let wait = if self.refused.contains_key(flow.caller.ip()) {
            REPEATED_WAIT_MILLIS
        } else {
            MAX_WAIT_MILLIS
        };
        self.waiting.push_back(WaitingOpening {
            flow,
            packet: bytes.to_vec(),
            arrived_at: now,
            refuse_at: now.after(wait),
        });
        LinkVerdict::Wait
    }

    /// Records a packet of an open flow.
    pub(crate) fn record(&mut self, packet: &FlowPacket, now: ClockMillis) {
        if packet.data_bytes == 0 && !packet.flags.has(PacketFlags::FINISH) {
            return;
        }
        let flow = packet.caller_flow();
        if self.profiles.len() < MAX_PROFILES || self.profiles.contains_key(&flow.listener) {
            self.profiles
                .entry(flow.listener)
                .or_default()
                .record(packet);
        }
        if packet.data_bytes >= FULL_PACKET_BYTES {
            if let Some(heard_at) = self.under_way.get_mut(&flow) {
                *heard_at = now;
            }
        } else {
            // The last packet of a request is not full.
            self.under_way.remove(&flow);
        }
    }

    /// Removes and returns an opening whose wait has ended.
    pub(crate) fn take_ended(&mut self, now: ClockMillis) -> Option<EndedWait> {
        let expired = self
            .waiting
            .iter()
            .position(|waiting| waiting.refuse_at <= now);
        if let Some(waiting) = expired.and_then(|index| self.waiting.remove(index)) {
            self.note_refusal(waiting.flow, now);
            return Some(waiting.end(false, now));
        }
        if self.waiting.is_empty() || !self.has_room(now) {
            return None;
        }
        let waiting = self.waiting.pop_front()?;
        self.under_way.insert(waiting.flow, now);
        Some(waiting.end(true, now))
    }

    /// Returns when the wait of an opening may next end.
    pub(crate) fn next_due(&self) -> Option<ClockMillis> {
        let refusal = self.waiting.iter().map(|waiting| waiting.refuse_at).min()?;
        let idle = self.under_way.values().min();
        Some(idle.map_or(refusal, |heard_at| refusal.min(heard_at.after(IDLE_MILLIS))))
    }

    /// Returns the number of large requests under way.
    pub(crate) fn under_way(&self) -> usize {
        self.under_way.len()
    }

    /// Returns the number of waiting openings.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Forgets what is too old.
    pub(crate) fn sweep(&mut self, now: ClockMillis) {
        self.drop_idle(now);
        self.refused
            .retain(|_, refused_at| now.since(*refused_at) < REFUSAL_RETENTION_MILLIS);
    }

    fn has_room(&mut self, now: ClockMillis) -> bool {
        if self.under_way.len() >= self.max_under_way {
            self.drop_idle(now);
        }
        self.under_way.len() < self.max_under_way
    }

    fn drop_idle(&mut self, now: ClockMillis) {
        self.under_way
            .retain(|_, heard_at| now.since(*heard_at) < IDLE_MILLIS);
    }

    fn note_refusal(&mut self, flow: FlowKey, now: ClockMillis) {
        if self.refused.len() < MAX_REFUSED {
            self.refused.insert(*flow.caller.ip(), now);
        }
    }
}

impl WaitingOpening {
    fn end(self, admitted: bool, now: ClockMillis) -> EndedWait {
        EndedWait {
            flow: self.flow,
            packet: self.packet,
            waited: now.since(self.arrived_at),
            admitted,
        }
    }
}
