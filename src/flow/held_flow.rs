use std::net::Ipv4Addr;

use super::FlowPacket;
use crate::clock::ClockMillis;

/// What an agent remembers of a flow.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldFlow {
    pub(super) balancer: Ipv4Addr,
    /// Whether the balancer was told that the target answers.
    pub(super) reported: bool,
    /// Whether the target has sent more than the answer to the opening: only
    /// the target that holds a flow does.
    pub(super) established: bool,
    /// The place that the caller acknowledged last.
    pub(super) acknowledged: u32,
    /// The place behind the last byte that the caller has sent, once it has
    /// sent any; bytes before it are repetitions.
    pub(super) sent_to: Option<u32>,
    /// When its first packet was seen.
    pub(super) seen_at: ClockMillis,
    pub(super) used_at: ClockMillis,
}

impl HeldFlow {
    /// Notes the data of a caller's packet; returns whether any of it is new,
    /// so that a request begins or goes on.
    pub(super) fn takes_new_bytes(&mut self, packet: &FlowPacket) -> bool {
        if packet.data_bytes == 0 {
            return false;
        }
        let end = packet.sequence.wrapping_add(packet.data_bytes.into());
        // Places wrap around; half of them lie ahead.
        let ahead = |sent_to: u32| end.wrapping_sub(sent_to).cast_signed() > 0;
        let fresh = self.sent_to.is_none_or(ahead);
        if fresh {
            self.sent_to = Some(end);
        }
        fresh
    }
}
