use std::net::SocketAddrV4;

use super::FlowKey;
use crate::clock::SpanMillis;

/// The most data that a packet carries, in bytes; a sender fills every packet of a
/// request but the last.
pub(crate) const FULL_PACKET_BYTES: u16 = 1_200;

/// Flags of a packet, one bit each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PacketFlags(u8);

impl PacketFlags {
    /// Opens the flow, as a SYN does.
    pub const OPEN: Self = Self(1);
    /// Acknowledges received bytes.
    pub const ACKNOWLEDGE: Self = Self(2);
    /// The sender sends no more data.
    pub const FINISH: Self = Self(4);
    /// Ends the flow immediately.
    pub const RESET: Self = Self(8);
    /// The target does not accept the packet and returns it.
    pub const BOUNCED: Self = Self(16);

    /// Returns the union of both sets of flags.
    #[must_use]
    pub const fn with(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns whether every flag of `other` is set.
    #[must_use]
    pub const fn has(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }
}

/// The header of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowPacket {
    /// The sender's address and port.
    pub source: SocketAddrV4,
    /// The receiver's address and port.
    pub destination: SocketAddrV4,
    /// The flags.
    pub flags: PacketFlags,
    /// The sequence number of its first data byte.
    pub sequence: u32,
    /// The sequence number up to which the sender has received data.
    pub acknowledged: u32,
    /// The number of data bytes.
    pub data_bytes: u16,
    /// For an opening, the time since the caller first sent it as far as the packet
    /// shows; zero for all other packets.
    pub age: SpanMillis,
    /// The tag that the agent wrote into the packet on delivery to the target.
    pub tag: u32,
}

impl FlowPacket {
    /// Returns the flow of a packet sent by a caller.
    #[must_use]
    pub const fn caller_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            listener: self.destination,
        }
    }

    /// Returns the flow of a packet sent by a target.
    #[must_use]
    pub const fn target_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.destination,
            listener: self.source,
        }
    }

    /// Returns whether the packet opens a new flow.
    #[must_use]
    pub const fn is_opening(&self) -> bool {
        self.flags.has(PacketFlags::OPEN) && !self.flags.has(PacketFlags::ACKNOWLEDGE)
    }
}

/// A reset sent to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowReset {
    /// The flow to end.
    pub flow: FlowKey,
    /// The sequence number that the caller acknowledged last; any value for an
    /// opening.
    pub sequence: u32,
}

impl FlowReset {
    /// Creates the reset in response to a caller's packet.
    #[must_use]
    pub const fn answering(packet: &FlowPacket) -> Self {
        let sequence = if packet.is_opening() {
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
