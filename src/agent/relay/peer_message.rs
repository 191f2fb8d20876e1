use serde::{Deserialize, Serialize};

use crate::agent::{admission::TargetLoad, claim::ClaimFrame};

/// A message between two agents of a service, in one datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// About a claim on a slot.
    Claim(ClaimFrame),
    /// How much the sender has to do.
    Load(TargetLoad),
}

impl PeerMessage {
    /// Returns the message's bytes.
    pub(super) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a message; returns nothing if the bytes hold none.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (message, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(message)
    }
}
