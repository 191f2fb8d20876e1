//! The packets that requesters and targets exchange (PROTOCOL.md, "Packets").

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 64;
pub const ACK: u8 = 8;
pub const FIN: u8 = 32;
pub const RST: u8 = 16;
pub const BOUNCED: u8 = 2;
pub const MAX_DATA: usize = 1_200;
const HEADER: usize = 32;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    pub data: Vec<u8>,
    /// False if the checksum does not fit.
    pub sound: bool,
    /// Whether the checksum field is zero, as in a reset of the system.
    pub unsigned: bool,
}

impl Packet {
    pub fn new(src: SocketAddrV4, dst: SocketAddrV4, flags: u8, seq: u32, ack: u32) -> Self {
        Self {
            src,
            dst,
            flags,
            seq,
            ack,
            echo: 0,
            data: Vec::new(),
            sound: true,
            unsigned: false,
        }
    }

    pub fn with_data(mut self, data: &[u8]) -> Self {
        self.data = data.to_vec();
        self
    }

    pub fn is(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    pub fn is_opening(&self) -> bool {
        self.is(SYN) && !self.is(ACK)
    }

    /// A sum over all fields that the system may not change.
    fn sum(&self) -> u32 {
        let parts = [
            self.src.ip().to_bits(),
            self.dst.ip().to_bits(),
            u32::from(self.src.port()) << 16 | u32::from(self.dst.port()),
            self.seq,
            self.ack,
            u32::from(self.flags & !BOUNCED),
        ];
        let data = self.data.iter().map(|byte| u32::from(*byte));
        parts
            .into_iter()
            .chain(data)
            .fold(0x5eed, |sum: u32, part| {
                sum.wrapping_mul(16_777_619).wrapping_add(part ^ 0x9e37) | 1
            })
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER + self.data.len());
        bytes.extend(self.src.port().to_le_bytes());
        bytes.extend(self.dst.port().to_le_bytes());
        bytes.extend(self.dst.ip().to_bits().to_le_bytes());
        bytes.extend(self.src.ip().to_bits().to_le_bytes());
        bytes.extend(self.sum().to_le_bytes());
        bytes.extend(self.seq.to_le_bytes());
        bytes.extend(self.ack.to_le_bytes());
        bytes.extend([self.flags, 0]);
        bytes.extend((self.data.len() as u16).to_le_bytes());
        bytes.extend(self.echo.to_le_bytes());
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEADER {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let mut packet = Self {
            src: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(8)), u16_at(0)),
            dst: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(4)), u16_at(2)),
            flags: bytes[24],
            seq: u32_at(16),
            ack: u32_at(20),
            echo: u32_at(28),
            data: bytes[HEADER..].to_vec(),
            sound: true,
            unsigned: u32_at(12) == 0,
        };
        packet.sound = u32_at(12) == packet.sum() && usize::from(u16_at(26)) == packet.data.len();
        Some(packet)
    }
}
