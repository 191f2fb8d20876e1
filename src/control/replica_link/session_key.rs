use ring::hmac;

use super::LinkError;
use crate::secret::SecretStore;

/// Length of the random nonce that each side sends when a connection starts.
pub(super) const NONCE_BYTES: usize = 16;
/// Length of an authentication tag, an HMAC.
pub(super) const TAG_BYTES: usize = 32;
/// Domain separation: this protocol's tags differ from those of calls, which use
/// the same key.
const TAG_LABEL: &[u8] = b"cyclamenrouter replica link 1";

/// The direction of a frame; the value is part of the tag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum FrameDirection {
    FromDialler = 1,
    FromAcceptor = 2,
}

/// Authenticates the frames of one connection.
///
/// A tag covers both nonces, the direction, the frame's sequence number and its
/// payload, so a frame can't be replayed, reordered or reflected.
#[derive(Debug, Clone)]
pub(super) struct SessionKey {
    secret: SecretStore,
    nonces: [u8; 2 * NONCE_BYTES],
}

impl SessionKey {
    /// Creates the key of a connection from the nonces of both sides.
    pub(super) fn new(
        secret: SecretStore,
        dialler: [u8; NONCE_BYTES],
        acceptor: [u8; NONCE_BYTES],
    ) -> Self {
        let mut nonces = [0; 2 * NONCE_BYTES];
        nonces[..NONCE_BYTES].copy_from_slice(&dialler);
        nonces[NONCE_BYTES..].copy_from_slice(&acceptor);
        Self { secret, nonces }
    }

    /// Returns the epoch of the active secret and the tag of a frame.
    pub(super) fn sign(
        &self,
        direction: FrameDirection,
        sequence: u64,
        payload: &[u8],
    ) -> (u8, [u8; TAG_BYTES]) {
        let ring = self.secret.keys();
        let keys = ring.active();
        let signature = hmac::sign(
            &keys.call_key,
            &self.signed_bytes(direction, sequence, payload),
        );
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(signature.as_ref());
        (keys.epoch_bits, tag)
    }

    /// Verifies the tag of a frame.
    pub(super) fn verify(
        &self,
        direction: FrameDirection,
        sequence: u64,
        payload: &[u8],
        (epoch_bits, tag): (u8, &[u8]),
    ) -> Result<(), LinkError> {
        let ring = self.secret.keys();
        let keys = ring.find(epoch_bits).ok_or(LinkError::InvalidTag)?;
        let signed_bytes = self.signed_bytes(direction, sequence, payload);
        hmac::verify(&keys.call_key, &signed_bytes, tag).map_err(|_| LinkError::InvalidTag)
    }

    fn signed_bytes(&self, direction: FrameDirection, sequence: u64, payload: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(TAG_LABEL.len() + 48 + payload.len());
        bytes.extend_from_slice(TAG_LABEL);
        bytes.push(direction as u8);
        bytes.extend_from_slice(&self.nonces);
        bytes.extend_from_slice(&sequence.to_be_bytes());
        bytes.extend_from_slice(payload);
        bytes
    }
}
