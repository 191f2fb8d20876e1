//! The packets that requesters and targets exchange.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 64;
pub const ACK: u8 = 8;
pub const FIN: u8 = 32;
pub const RST: u8 = 16;
pub const BOUNCED: u8 = 2;
const HEADER_BYTES: usize = 32;
/// The key of the sum, which only requesters and targets know.
const SUM_KEY: u32 = 0x5bd1_e995;

/// A packet: header and data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub flags: u8,
    pub sequence: u32,
    pub acknowledged: u32,
    pub echo: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        bytes.extend(self.source.port().to_le_bytes());
        bytes.extend(self.destination.port().to_le_bytes());
        bytes.extend(self.destination.ip().to_bits().to_le_bytes());
        bytes.extend(self.source.ip().to_bits().to_le_bytes());
        bytes.extend(self.sum().to_le_bytes());
        bytes.extend(self.sequence.to_le_bytes());
        bytes.extend(self.acknowledged.to_le_bytes());
        bytes.extend([self.flags, 0]);
        let length = u16::try_from(self.data.len()).expect("at most 1,200 bytes");
        bytes.extend(length.to_le_bytes());
        bytes.extend(self.echo.to_le_bytes());
        bytes.extend(&self.data);
        bytes
    }

    /// Decodes a packet; returns whether its sender wrote it so.
    pub fn decode(bytes: &[u8]) -> Option<(Self, bool)> {
        if bytes.len() < HEADER_BYTES {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let packet = Self {
            source: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(8)), u16_at(0)),
            destination: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(4)), u16_at(2)),
            flags: bytes[24],
            sequence: u32_at(16),
            acknowledged: u32_at(20),
            echo: u32_at(28),
            data: bytes[HEADER_BYTES..].to_vec(),
        };
        let is_genuine = u32_at(12) == packet.sum();
        Some((packet, is_genuine))
    }

    /// A keyed sum over all fields that the system must not change.
    fn sum(&self) -> u32 {
        let fields = [
            self.source.ip().to_bits(),
            self.destination.ip().to_bits(),
            u32::from(self.source.port()) << 16 | u32::from(self.destination.port()),
            self.sequence,
            self.acknowledged,
            u32::from(self.flags & !BOUNCED),
        ];
        let data = self.data.iter().map(|byte| u32::from(*byte));
        fields.into_iter().chain(data).fold(SUM_KEY, |sum, field| {
            sum.wrapping_mul(31).wrapping_add(field) | 1
        })
    }
}
