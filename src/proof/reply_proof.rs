use std::fmt;

use ring::{digest, hmac};

use super::{
    ProofError,
    hex_digits::{decode_hex, encode_hex},
};
use crate::secret::{EpochKeys, KeyRing};

/// Keeps answer signatures apart from every other use of the key.
const REPLY_LABEL: &[u8] = b"cyclamen reply 1";
/// The bytes of a signature.
const TAG_BYTES: usize = 32;

/// The proof that an answer belongs to one call and came whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReplyProof {
    epoch_bits: u8,
    tag: [u8; TAG_BYTES],
}

impl ReplyProof {
    /// Signs the answer to the call with `nonce`.
    pub(crate) fn new(keys: &EpochKeys, nonce: u64, status: u16, body: &[u8]) -> Self {
        let signature = hmac::sign(&keys.call_key, &signed_bytes(nonce, status, body));
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(signature.as_ref());
        Self {
            epoch_bits: keys.epoch_bits,
            tag,
        }
    }

    /// Reads the value of the header.
    pub(crate) fn parse(text: &str) -> Result<Self, ProofError> {
        let (epoch, tag) = text.split_once('-').ok_or(ProofError::Malformed)?;
        let [epoch_bits] = decode_hex(epoch).ok_or(ProofError::Malformed)?;
        let tag = decode_hex(tag).ok_or(ProofError::Malformed)?;
        Ok(Self { epoch_bits, tag })
    }

    /// Verifies that the answer was made for the call with `nonce`.
    pub(crate) fn verify(
        &self,
        ring: &KeyRing,
        nonce: u64,
        status: u16,
        body: &[u8],
    ) -> Result<(), ProofError> {
        let keys = ring.find(self.epoch_bits).ok_or(ProofError::UnknownEpoch {
            epoch_bits: self.epoch_bits,
        })?;
        let bytes = signed_bytes(nonce, status, body);
        hmac::verify(&keys.call_key, &bytes, &self.tag).map_err(|_| ProofError::Mismatch)
    }
}

impl fmt::Display for ReplyProof {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:02x}-{}",
            self.epoch_bits,
            encode_hex(&self.tag)
        )
    }
}

fn signed_bytes(nonce: u64, status: u16, body: &[u8]) -> Vec<u8> {
    let digest = digest::digest(&digest::SHA256, body);
    let mut bytes = Vec::with_capacity(64);
    bytes.extend_from_slice(REPLY_LABEL);
    bytes.extend_from_slice(&nonce.to_be_bytes());
    bytes.extend_from_slice(&status.to_be_bytes());
    bytes.extend_from_slice(digest.as_ref());
    bytes
}
