use super::CONNECTION_ID_BYTES;

/// Bit of the first byte that marks a long header.
const LONG_HEADER_BIT: u8 = 0x80;
/// Offset of the destination connection ID's length in a long header.
const DESTINATION_LENGTH_OFFSET: usize = 5;
/// Maximum length of a connection ID in QUIC version 1, in bytes.
const MAX_CONNECTION_ID_BYTES: usize = 20;
/// Minimum length of a destination connection ID that a caller chooses, in bytes.
const MIN_CHOSEN_ID_BYTES: usize = 8;
/// Minimum size of a datagram that opens a connection, in bytes.
const MIN_OPENING_DATAGRAM_BYTES: usize = 1_200;

/// The version-independent header fields of a QUIC packet (RFC 8999).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketHeader<'a> {
    /// Long or short header.
    pub form: HeaderForm,
    /// The destination connection ID.
    pub destination: &'a [u8],
}

/// The form of a QUIC header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeaderForm {
    /// Used during the handshake; contains the lengths of its connection IDs.
    Long,
    /// Used on an established connection; the connection ID length is implicit.
    Short,
}

impl<'a> PacketHeader<'a> {
    /// Parses the first packet of `datagram`; returns `None` if it is not QUIC.
    #[must_use]
    pub fn read(datagram: &'a [u8]) -> Option<Self> {
        let first = *datagram.first()?;
        if first & LONG_HEADER_BIT == 0 {
            return Some(Self {
                form: HeaderForm::Short,
                destination: datagram.get(1..=CONNECTION_ID_BYTES)?,
            });
        }
        let length = usize::from(*datagram.get(DESTINATION_LENGTH_OFFSET)?);
        if length > MAX_CONNECTION_ID_BYTES {
            return None;
        }
        let start = DESTINATION_LENGTH_OFFSET + 1;
        Some(Self {
            form: HeaderForm::Long,
            destination: datagram.get(start..start + length)?,
        })
    }

    /// Returns whether a datagram of `length` bytes with this header may open a connection.
    #[must_use]
    pub fn can_open_connection(&self, length: usize) -> bool {
        self.form == HeaderForm::Long
            && self.destination.len() >= MIN_CHOSEN_ID_BYTES
            && length >= MIN_OPENING_DATAGRAM_BYTES
    }
}
