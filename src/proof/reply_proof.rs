use std::fmt;

use ring::{digest, hmac};

use super::{
    ProofError,
    hex_digits::{decode_hex, encode_hex},
};
use crate::secret::{EpochKeys, KeyRing};

/// Domain separation: no MAC of a reply is valid for another use of the key.
const REPLY_LABEL: &[u8] = b"cyclamen reply 1";
/// The length of an HMAC-SHA256 in bytes.
const MAC_BYTES: usize = 32;

/// Authenticates a reply: a MAC over the nonce of its call, the HTTP status and
/// the digest of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReplyProof {
    epoch_bits: u8,
    mac: [u8; MAC_BYTES],
}

impl ReplyProof {
    /// Computes the proof of the reply to the call with `nonce`.
    pub(crate) fn new(keys: &EpochKeys, nonce: u64, status: u16, body: &[u8]) -> Self {
        let computed = hmac::sign(&keys.call_key, &mac_input(nonce, status, body));
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(computed.as_ref());
        Self {
            epoch_bits: keys.epoch_bits,
            mac,
        }
    }

    /// Parses the value of the header [`REPLY_HEADER`](super::REPLY_HEADER).
    pub(crate) fn parse(text: &str) -> Result<Self, ProofError> {
        let (epoch, mac) = text.split_once('-').ok_or(ProofError::Malformed)?;
        let [epoch_bits] = decode_hex(epoch).ok_or(ProofError::Malformed)?;
        let mac = decode_hex(mac).ok_or(ProofError::Malformed)?;
        Ok(Self { epoch_bits, mac })
    }

    /// Verifies that the reply is unchanged and belongs to the call with `nonce`.
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
        let bytes = mac_input(nonce, status, body);
        hmac::verify(&keys.call_key, &bytes, &self.mac).map_err(|_| ProofError::Mismatch)
    }
}

impl fmt::Display for ReplyProof {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:02x}-{}",
            self.epoch_bits,
            encode_hex(&self.mac)
        )
    }
}

fn mac_input(nonce: u64, status: u16, body: &[u8]) -> Vec<u8> {
    let digest = digest::digest(&digest::SHA256, body);
    let mut bytes = Vec::with_capacity(64);
    bytes.extend_from_slice(REPLY_LABEL);
    bytes.extend_from_slice(&nonce.to_be_bytes());
    bytes.extend_from_slice(&status.to_be_bytes());
    bytes.extend_from_slice(digest.as_ref());
    bytes
}
