use std::fmt;

use ring::{digest, hmac};

use super::{
    ProofError,
    hex_digits::{decode_hex, encode_hex},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    secret::{EpochKeys, KeyRing},
};

/// The largest distance between the clocks of caller and server.
const WINDOW_MILLIS: SpanMillis = SpanMillis::new(30_000);
/// Keeps call signatures apart from every other use of the key.
const CALL_LABEL: &[u8] = b"cyclamen call 1";
/// The bytes of a digest and of a signature.
const TAG_BYTES: usize = 32;

/// The request line that a proof covers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallLine<'a> {
    /// The HTTP method.
    pub(crate) method: &'a str,
    /// The path.
    pub(crate) path: &'a str,
}

/// A caller's proof, as one header carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallProof {
    epoch_bits: u8,
    time: ClockMillis,
    nonce: u64,
    body_digest: [u8; TAG_BYTES],
    tag: [u8; TAG_BYTES],
}

impl CallProof {
    /// Signs a call with `keys`.
    pub(crate) fn new(
        keys: &EpochKeys,
        line: CallLine<'_>,
        body: &[u8],
        time: ClockMillis,
        nonce: u64,
    ) -> Self {
        let mut proof = Self {
            epoch_bits: keys.epoch_bits,
            time,
            nonce,
            body_digest: digest_body(body),
            tag: [0; TAG_BYTES],
        };
        let tag = hmac::sign(&keys.call_key, &proof.signed_bytes(line));
        proof.tag.copy_from_slice(tag.as_ref());
        proof
    }

    /// Reads the value of the header.
    pub(crate) fn parse(text: &str) -> Result<Self, ProofError> {
        let mut parts = text.split('-');
        let mut part = || parts.next().ok_or(ProofError::Malformed);
        let [epoch_bits] = decode_part(part()?)?;
        let time = u64::from_be_bytes(decode_part(part()?)?);
        let nonce = u64::from_be_bytes(decode_part(part()?)?);
        let body_digest = decode_part(part()?)?;
        let tag = decode_part(part()?)?;
        if parts.next().is_some() {
            return Err(ProofError::Malformed);
        }
        Ok(Self {
            epoch_bits,
            time: ClockMillis::new(time),
            nonce,
            body_digest,
            tag,
        })
    }

    /// Verifies everything but the body, which need not be read before.
    pub(crate) fn verify(
        &self,
        ring: &KeyRing,
        line: CallLine<'_>,
        now: ClockMillis,
    ) -> Result<(), ProofError> {
        let keys = ring.find(self.epoch_bits).ok_or(ProofError::UnknownEpoch {
            epoch_bits: self.epoch_bits,
        })?;
        hmac::verify(&keys.call_key, &self.signed_bytes(line), &self.tag)
            .map_err(|_| ProofError::Mismatch)?;
        let offset = now.since(self.time).max(self.time.since(now));
        if offset > WINDOW_MILLIS {
            return Err(ProofError::Stale { offset });
        }
        Ok(())
    }

    /// Verifies that `body` is the one that was signed.
    pub(crate) fn verify_body(&self, body: &[u8]) -> Result<(), ProofError> {
        if digest_body(body) == self.body_digest {
            Ok(())
        } else {
            Err(ProofError::BodyMismatch)
        }
    }

    /// Returns the nonce, which the proof of the answer repeats.
    pub(crate) const fn nonce(&self) -> u64 {
        self.nonce
    }

    fn signed_bytes(&self, line: CallLine<'_>) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(128);
        bytes.extend_from_slice(CALL_LABEL);
        bytes.push(self.epoch_bits);
        bytes.extend_from_slice(&self.time.millis().to_be_bytes());
        bytes.extend_from_slice(&self.nonce.to_be_bytes());
        bytes.extend_from_slice(&self.body_digest);
        bytes.extend_from_slice(line.method.as_bytes());
        bytes.push(b' ');
        bytes.extend_from_slice(line.path.as_bytes());
        bytes
    }
}

impl fmt::Display for CallProof {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:02x}-{:016x}-{:016x}-{}-{}",
            self.epoch_bits,
            self.time.millis(),
            self.nonce,
            encode_hex(&self.body_digest),
            encode_hex(&self.tag),
        )
    }
}

fn decode_part<const N: usize>(text: &str) -> Result<[u8; N], ProofError> {
    decode_hex(text).ok_or(ProofError::Malformed)
}

fn digest_body(body: &[u8]) -> [u8; TAG_BYTES] {
    let digest = digest::digest(&digest::SHA256, body);
    let mut bytes = [0; TAG_BYTES];
    bytes.copy_from_slice(digest.as_ref());
    bytes
}
