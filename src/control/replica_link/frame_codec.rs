use serde::{Deserialize, Serialize};

use super::LinkError;
use crate::control::replica::{MAX_ENTRY_BYTES, PeerMessage};

/// The largest payload of a frame whose sender is proved.
pub(super) const MAX_PAYLOAD_BYTES: usize = MAX_ENTRY_BYTES + (2 << 20);
/// The largest payload of the first frame, before anything is proved.
pub(super) const FIRST_PAYLOAD_BYTES: usize = 64;

/// What a frame carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum FrameContent {
    /// Nothing; the sender is alive.
    Alive,
    /// A message for the receiving replica.
    Message(PeerMessage),
}

impl FrameContent {
    /// Returns the payload of a frame.
    pub(super) fn encode(&self) -> Result<Vec<u8>, LinkError> {
        let payload = postcard::to_stdvec(self).map_err(|_| LinkError::Undecodable)?;
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(LinkError::TooLong {
                length: payload.len(),
                allowed: MAX_PAYLOAD_BYTES,
            });
        }
        Ok(payload)
    }

    /// Reads the payload of a frame.
    pub(super) fn decode(payload: &[u8]) -> Result<Self, LinkError> {
        postcard::from_bytes(payload).map_err(|_| LinkError::Undecodable)
    }
}
