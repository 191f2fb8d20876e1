use serde::{Deserialize, Serialize};

use crate::agent::{admission::TargetLoad, claim::ClaimFrame};

/// A message between two agents of a service; one per datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// A frame of the claim protocol.
    Claim(ClaimFrame),
    /// The sender's load.
    Load(TargetLoad),
}

impl PeerMessage {
    /// Encodes the message with postcard.
    pub(super) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message; returns `None` if the bytes are malformed.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (message, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(message)
    }
}
