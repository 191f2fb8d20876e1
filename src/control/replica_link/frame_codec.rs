use serde::{Deserialize, Serialize};

use super::LinkError;
use crate::control::replica::{MAX_ENTRY_BYTES, MessageTail, PeerMessage};

/// Largest payload of a frame once the sender is authenticated.
pub(super) const MAX_PAYLOAD_BYTES: usize = MAX_ENTRY_BYTES + (2 << 20);
/// Largest payload of the first frame, before the sender is authenticated.
pub(super) const MAX_FIRST_PAYLOAD_BYTES: usize = 64;

/// The content of a frame, encoded with postcard: the order of variants is part of
/// the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum FrameContent {
    /// Shows that the sender is alive.
    #[serde(rename = "Alive")]
    KeepAlive,
    /// A message for the receiving replica.
    Message(Box<PeerMessage>),
}

impl FrameContent {
    /// Encodes the payload of a frame.
    pub(super) fn encode(&self) -> Result<Vec<u8>, LinkError> {
        let mut payload = postcard::to_stdvec(self).map_err(|_| LinkError::Undecodable)?;
        let tail = self.tail();
        if tail != MessageTail::default() {
            payload = postcard::to_extend(&tail, payload).map_err(|_| LinkError::Undecodable)?;
        }
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(LinkError::TooLong {
                length: payload.len(),
                allowed: MAX_PAYLOAD_BYTES,
            });
        }
        Ok(payload)
    }

    /// Decodes the payload of a frame.
    pub(super) fn decode(payload: &[u8]) -> Result<Self, LinkError> {
        let (mut content, rest) =
            postcard::take_from_bytes(payload).map_err(|_| LinkError::Undecodable)?;
        if let Self::Message(message) = &mut content
            && !rest.is_empty()
        {
            message.tail = postcard::from_bytes(rest).map_err(|_| LinkError::Undecodable)?;
        }
        Ok(content)
    }

    fn tail(&self) -> MessageTail {
        match self {
            Self::KeepAlive => MessageTail::default(),
            Self::Message(message) => message.tail,
        }
    }
}
