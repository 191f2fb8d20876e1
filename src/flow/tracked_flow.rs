use std::net::Ipv4Addr;

use super::FlowPacket;
use crate::clock::ClockMillis;

/// State of a flow at an agent.
#[derive(Debug, Clone, Copy)]
pub(super) struct TrackedFlow {
    /// The balancer that sent the flow's last packet.
    pub(super) balancer: Ipv4Addr,
    /// Whether the flow was reported to that balancer as held.
    pub(super) reported: bool,
    /// Whether the target sent more than the answer to the opening, which only
    /// the target that holds the flow does.
    pub(super) established: bool,
    /// The sequence number that the caller acknowledged last.
    pub(super) acknowledged: u32,
    /// The sequence number after the last data byte from the caller, if it sent
    /// any; bytes before it are retransmissions.
    pub(super) next_sequence: Option<u32>,
    pub(super) first_seen_at: ClockMillis,
    pub(super) last_packet_at: ClockMillis,
}

impl TrackedFlow {
    /// Records the data of a caller's packet; returns whether any of it is new,
    /// which means that a request starts or continues.
    pub(super) fn record_data(&mut self, packet: &FlowPacket) -> bool {
        if packet.data_bytes == 0 {
            return false;
        }
        let end = packet.sequence.wrapping_add(packet.data_bytes.into());
        // Sequence numbers wrap around: the half of their range after
        // `next_sequence` is newer.
        let is_newer = |next_sequence: u32| end.wrapping_sub(next_sequence).cast_signed() > 0;
        let has_new_data = self.next_sequence.is_none_or(is_newer);
        if has_new_data {
            self.next_sequence = Some(end);
        }
        has_new_data
    }
}
