use std::{cmp::Reverse, collections::HashMap};

use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::FlowKey,
};

/// Maximum number of parked packets, one per flow; further ones are dropped.
const MAX_PARKED: usize = 2_048;
/// How long a packet is parked; by then its caller has retransmitted it twice.
const MAX_PARKED_AGE_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// Packets held until routes and targets are known.
///
/// Callers retransmit a packet after 200 ms and then at growing intervals, so
/// without parking a balancer that has just started would learn of many flows a
/// second too late.
#[derive(Debug, Default)]
pub(crate) struct ParkedPackets {
    packets: HashMap<FlowKey, (ClockMillis, Vec<u8>)>,
}

impl ParkedPackets {
    /// Adds a packet; it replaces an earlier one of its flow.
    pub(crate) fn park(&mut self, flow: FlowKey, packet: &[u8], now: ClockMillis) {
        if self.packets.len() < MAX_PARKED || self.packets.contains_key(&flow) {
            self.packets.insert(flow, (now, packet.to_vec()));
        }
    }

    /// Removes the packet of a flow.
    pub(crate) fn remove(&mut self, flow: FlowKey) {
        self.packets.remove(&flow);
    }

    /// Removes all packets and returns those that are not too old, each with the
    /// time that it was parked; oldest first.
    pub(crate) fn drain(&mut self, now: ClockMillis) -> Vec<(SpanMillis, Vec<u8>)> {
        let aged = self
            .packets
            .drain()
            .map(|(_, (parked_at, packet))| (now.since(parked_at), packet));
        let mut packets: Vec<_> = aged
            .filter(|(age, _)| *age < MAX_PARKED_AGE_MILLIS)
            .collect();
        packets.sort_by_key(|(age, _)| Reverse(*age));
        packets
    }

    /// Drops the packets that are too old.
    pub(crate) fn sweep(&mut self, now: ClockMillis) {
        self.packets
            .retain(|_, (parked_at, _)| now.since(*parked_at) < MAX_PARKED_AGE_MILLIS);
    }
}
