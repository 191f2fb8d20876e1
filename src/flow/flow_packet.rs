use std::net::SocketAddrV4;

use super::FlowKey;
use crate::clock::SpanMillis;

/// What a packet does to its flow, one bit each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PacketSigns(u8);

impl PacketSigns {
    /// The packet opens the flow.
    pub const OPEN: Self = Self(1);
    /// The packet acknowledges bytes.
    pub const ACKNOWLEDGE: Self = Self(2);
    /// The sender has nothing more to send.
    pub const FINISH: Self = Self(4);
    /// The flow ends at once.
    pub const RESET: Self = Self(8);
    /// The target holds no such flow and gives the packet back.
    pub const BOUNCED: Self = Self(16);

    /// Returns these signs and those of `other`.
    #[must_use]
    pub const fn with(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns whether every sign of `other` is set.
    #[must_use]
    pub const fn has(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }
}

/// The header of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowPacket {
    /// The end that sent it.
    pub source: SocketAddrV4,
    /// The end that it is for.
    pub destination: SocketAddrV4,
    /// What it does to the flow.
    pub signs: PacketSigns,
    /// The place of its first byte.
    pub sequence: u32,
    /// The place up to which the sender has received.
    pub acknowledged: u32,
    /// The bytes of data.
    pub data_bytes: u16,
    /// How long ago the caller sent an opening for the first time, as far as the
    /// packet tells; zero for all other packets.
    pub age: SpanMillis,
    /// What the system wrote into the packet on its way to the target.
    pub tag: u32,
}

impl FlowPacket {
    /// Returns the flow of a packet that a caller sent.
    #[must_use]
    pub const fn caller_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            listener: self.destination,
        }
    }

    /// Returns the flow of a packet that a target sent.
    #[must_use]
    pub const fn target_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.destination,
            listener: self.source,
        }
    }

    /// Returns whether the packet asks for a new flow.
    #[must_use]
    pub const fn opens(&self) -> bool {
        self.signs.has(PacketSigns::OPEN) && !self.signs.has(PacketSigns::ACKNOWLEDGE)
    }
}

/// A reset that the system sends to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowReset {
    /// The flow that ends.
    pub flow: FlowKey,
    /// The place that the caller acknowledged last; any while it opens the flow.
    pub sequence: u32,
}

impl FlowReset {
    /// Creates the reset that answers a caller's packet.
    #[must_use]
    pub const fn answering(packet: &FlowPacket) -> Self {
        let sequence = if packet.opens() {
            0
        } else {
            packet.acknowledged
        };
        Self {
            flow: packet.caller_flow(),
            sequence,
        }
    }
}
