use super::CONNECTION_ID_BYTES;

/// Marks a long header in the first byte.
const LONG_HEADER_BIT: u8 = 0x80;
/// Where the length of the destination ID stands in a long header.
const LONG_LENGTH_AT: usize = 5;
/// The longest connection ID of QUIC version 1, in bytes.
const LONGEST_ID_BYTES: usize = 20;
/// The shortest destination ID that a caller may choose, in bytes.
const SHORTEST_CHOSEN_BYTES: usize = 8;
/// The least size of a datagram that opens a connection, in bytes.
const LEAST_FIRST_BYTES: usize = 1_200;

/// What of a QUIC packet every version keeps (RFC 8999).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketHeader<'a> {
    /// The form of the header.
    pub kind: PacketKind,
    /// The destination connection ID.
    pub destination: &'a [u8],
}

/// The form of a QUIC header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketKind {
    /// A packet of a handshake; it tells the length of its IDs.
    Long,
    /// A packet of an established connection.
    Short,
}

impl<'a> PacketHeader<'a> {
    /// Reads the first packet of `datagram`, or `None` if it is no QUIC.
    #[must_use]
    pub fn read(datagram: &'a [u8]) -> Option<Self> {
        let first = *datagram.first()?;
        if first & LONG_HEADER_BIT == 0 {
            return Some(Self {
                kind: PacketKind::Short,
                destination: datagram.get(1..=CONNECTION_ID_BYTES)?,
            });
        }
        let length = usize::from(*datagram.get(LONG_LENGTH_AT)?);
        if length > LONGEST_ID_BYTES {
            return None;
        }
        let start = LONG_LENGTH_AT + 1;
        Some(Self {
            kind: PacketKind::Long,
            destination: datagram.get(start..start + length)?,
        })
    }

    /// Returns whether a datagram of `length` bytes may open a connection.
    #[must_use]
    pub fn may_open(&self, length: usize) -> bool {
        self.kind == PacketKind::Long
            && self.destination.len() >= SHORTEST_CHOSEN_BYTES
            && length >= LEAST_FIRST_BYTES
    }
}
