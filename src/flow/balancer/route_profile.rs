use crate::flow::{FULL_PACKET_BYTES, FlowPacket};

/// Data after which a route's profile is known: half of a large request.
const MIN_PROFILE_BYTES: u64 = 20_000;
/// Data after which older packets count half, so that a profile follows changes.
const HALVING_BYTES: u64 = 1_000_000;
/// A route carries large requests if this share of its data comes in full packets:
/// numerator and denominator.
const FULL_SHARE: (u64, u64) = (3, 4);

/// How the data of a route's requests is packed.
///
/// Requests of many packets come in full ones except for the last; small requests
/// fill none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct RouteProfile {
    data_bytes: u64,
    full_packet_bytes: u64,
}

impl RouteProfile {
    /// Records a caller's packet.
    pub(super) fn record(&mut self, packet: &FlowPacket) {
        let bytes = u64::from(packet.data_bytes);
        self.data_bytes += bytes;
        if packet.data_bytes >= FULL_PACKET_BYTES {
            self.full_packet_bytes += bytes;
        }
        if self.data_bytes >= HALVING_BYTES {
            self.data_bytes /= 2;
            self.full_packet_bytes /= 2;
        }
    }

    /// Returns whether the route's requests take many packets.
    pub(super) fn has_large_requests(self) -> bool {
        let (numerator, denominator) = FULL_SHARE;
        self.data_bytes >= MIN_PROFILE_BYTES
            && self.full_packet_bytes * denominator >= self.data_bytes * numerator
    }
}
