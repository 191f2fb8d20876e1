use std::{cmp::Reverse, collections::HashMap};

use super::FlowKey;
use crate::clock::{ClockMillis, SpanMillis};

/// The most packets that are kept, one a flow.
const MAX_PARKED: usize = 2_048;
/// How long a packet is kept; by then its caller has repeated it twice.
const PARKED_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// Packets that can't be decided on yet, since routes or targets are not known.
///
/// Callers repeat a packet after 200 ms and then ever more rarely, so a balancer
/// that has just started would otherwise hear of many flows a second too late.
#[derive(Debug, Default)]
pub(crate) struct ParkedPackets {
    packets: HashMap<FlowKey, (ClockMillis, Vec<u8>)>,
}

impl ParkedPackets {
    /// Keeps a packet; it replaces an earlier one of its flow.
    pub(crate) fn park(&mut self, flow: FlowKey, packet: &[u8], now: ClockMillis) {
        if self.packets.len() < MAX_PARKED || self.packets.contains_key(&flow) {
            self.packets.insert(flow, (now, packet.to_vec()));
        }
    }

    /// Forgets the packet of a flow that was decided on.
    pub(crate) fn forget(&mut self, flow: FlowKey) {
        self.packets.remove(&flow);
    }

    /// Takes all packets that are not too old, to decide on them again, each with
    /// the time that it was kept; the oldest first.
    pub(crate) fn take_all(&mut self, now: ClockMillis) -> Vec<(SpanMillis, Vec<u8>)> {
        let kept = self
            .packets
            .drain()
            .map(|(_, (parked_at, packet))| (now.since(parked_at), packet));
        let mut packets: Vec<_> = kept.filter(|(kept, _)| *kept < PARKED_MILLIS).collect();
        packets.sort_by_key(|(kept, _)| Reverse(*kept));
        packets
    }

    /// Drops the packets that are too old.
    pub(crate) fn sweep(&mut self, now: ClockMillis) {
        self.packets
            .retain(|_, (parked_at, _)| now.since(*parked_at) < PARKED_MILLIS);
    }
}
