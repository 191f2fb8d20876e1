use ring::hmac;

use super::LinkError;
use crate::secret::SecretStore;

/// The bytes that each side draws when a connection starts.
pub(super) const NONCE_BYTES: usize = 16;
/// The bytes of a proof.
pub(super) const PROOF_BYTES: usize = 32;
/// Sets the proofs of this protocol apart from those of calls.
const PROOF_LABEL: &[u8] = b"cyclamenrouter replica link 1";

/// Which way a frame goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum FrameWay {
    /// From the side that dialled.
    Forward = 1,
    /// From the side that accepted.
    Back = 2,
}

/// Proves the frames of one connection.
///
/// A proof covers both sides' random numbers, the way and the frame's place, so
/// a frame can't be replayed, reordered or sent back.
#[derive(Debug, Clone)]
pub(super) struct SessionKey {
    secret: SecretStore,
    nonces: [u8; 2 * NONCE_BYTES],
}

impl SessionKey {
    /// Creates the key of a connection from both sides' random numbers.
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

    /// Returns the epoch in force and the proof of a frame.
    pub(super) fn prove(
        &self,
        way: FrameWay,
        sequence: u64,
        payload: &[u8],
    ) -> (u8, [u8; PROOF_BYTES]) {
        let ring = self.secret.keys();
        let keys = ring.active();
        let tag = hmac::sign(&keys.call_key, &self.covered(way, sequence, payload));
        let mut proof = [0; PROOF_BYTES];
        proof.copy_from_slice(tag.as_ref());
        (keys.epoch_bits, proof)
    }

    /// Verifies a frame's proof.
    pub(super) fn verify(
        &self,
        way: FrameWay,
        sequence: u64,
        payload: &[u8],
        (epoch_bits, proof): (u8, &[u8]),
    ) -> Result<(), LinkError> {
        let ring = self.secret.keys();
        let keys = ring.find(epoch_bits).ok_or(LinkError::WrongProof)?;
        let covered = self.covered(way, sequence, payload);
        hmac::verify(&keys.call_key, &covered, proof).map_err(|_| LinkError::WrongProof)
    }

    fn covered(&self, way: FrameWay, sequence: u64, payload: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(PROOF_LABEL.len() + 48 + payload.len());
        bytes.extend_from_slice(PROOF_LABEL);
        bytes.push(way as u8);
        bytes.extend_from_slice(&self.nonces);
        bytes.extend_from_slice(&sequence.to_be_bytes());
        bytes.extend_from_slice(payload);
        bytes
    }
}
