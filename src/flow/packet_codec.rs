use std::fmt::Debug;

use thiserror::Error;

use super::{FlowPacket, FlowReset};

/// Why a datagram is no packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PacketFault {
    /// It is shorter than a header.
    #[error("{bytes} bytes are no packet")]
    Short {
        /// The datagram's bytes.
        bytes: usize,
    },
    /// The header names another length of data than follows.
    #[error("the header names {named} bytes of data, {found} follow")]
    Length {
        /// The length in the header.
        named: usize,
        /// The bytes behind the header.
        found: usize,
    },
}

/// How the packets of a deployment are written; the edge to its wire format.
pub trait PacketCodec: Debug + Send + Sync + 'static {
    /// Reads the header of a packet.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no packet.
    fn decode(&self, bytes: &[u8]) -> Result<FlowPacket, PacketFault>;

    /// Returns the data of a packet that was decoded.
    fn data<'a>(&self, bytes: &'a [u8]) -> &'a [u8];

    /// Prepares a packet for a target: sets the tag and clears the mark of a
    /// bounce. The bytes are those of a packet that was decoded.
    fn prepare(&self, bytes: &mut [u8], tag: u32);

    /// Returns the bytes of a reset.
    fn encode_reset(&self, reset: &FlowReset) -> Vec<u8>;
}
