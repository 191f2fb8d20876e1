use std::fmt::Debug;

use thiserror::Error;

use super::{FlowPacket, FlowReset};

/// Why a datagram can't be decoded as a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PacketError {
    /// The datagram is shorter than a header.
    #[error("a datagram of {bytes} bytes is shorter than a packet header")]
    Short {
        /// The length of the datagram in bytes.
        bytes: usize,
    },
    /// The header declares another length of data than follows.
    #[error("the header declares {named} bytes of data, but {found} follow")]
    Length {
        /// The data length that the header declares, in bytes.
        named: usize,
        /// The number of bytes after the header.
        found: usize,
    },
}

/// Reads and writes the packet format of a deployment.
pub trait PacketCodec: Debug + Send + Sync + 'static {
    /// Decodes the header of a packet.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a valid packet.
    fn decode(&self, bytes: &[u8]) -> Result<FlowPacket, PacketError>;

    /// Returns the data of a packet that was decoded successfully.
    fn data<'a>(&self, bytes: &'a [u8]) -> &'a [u8];

    /// Prepares a packet for delivery to a target: sets the tag and clears the
    /// bounced flag. The packet must have been decoded successfully.
    fn prepare(&self, bytes: &mut [u8], tag: u32);

    /// Encodes a reset as a packet.
    fn encode_reset(&self, reset: &FlowReset) -> Vec<u8>;
}
