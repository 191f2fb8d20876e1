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

/// The largest accepted difference between the clocks of caller and server.
const MAX_CLOCK_OFFSET_MILLIS: SpanMillis = SpanMillis::new(30_000);
/// Domain separation: no MAC of a call is valid for another use of the key.
const CALL_LABEL: &[u8] = b"cyclamen call 1";
/// The length of a SHA-256 digest and of an HMAC-SHA256 in bytes.
const SHA256_BYTES: usize = 32;

/// The part of the HTTP request line that the MAC of a call covers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallHead<'a> {
    /// The HTTP method.
    pub(crate) method: &'a str,
    /// The path; calls between agents append the query and the values of their
    /// own headers.
    pub(crate) path: &'a str,
}

/// Authenticates a call: a MAC over the time, a nonce, the digest of the body,
/// the method and the path, sent in one header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallProof {
    epoch_bits: u8,
    time: ClockMillis,
    nonce: u64,
    body_digest: [u8; SHA256_BYTES],
    mac: [u8; SHA256_BYTES],
}

impl CallProof {
    /// Computes the proof of a call with the keys of one epoch.
    pub(crate) fn new(
        keys: &EpochKeys,
        head: CallHead<'_>,
        body: &[u8],
        time: ClockMillis,
        nonce: u64,
    ) -> Self {
        let mut proof = Self {
            epoch_bits: keys.epoch_bits,
            time,
            nonce,
            body_digest: digest_body(body),
            mac: [0; SHA256_BYTES],
        };
        let mac = hmac::sign(&keys.call_key, &proof.mac_input(head));
        proof.mac.copy_from_slice(mac.as_ref());
        proof
    }

    /// Parses the value of the header [`CALL_HEADER`](super::CALL_HEADER).
    pub(crate) fn parse(text: &str) -> Result<Self, ProofError> {
        let mut fields = text.split('-');
        let mut field = || fields.next().ok_or(ProofError::Malformed);
        let [epoch_bits] = decode_field(field()?)?;
        let time = u64::from_be_bytes(decode_field(field()?)?);
        let nonce = u64::from_be_bytes(decode_field(field()?)?);
        let body_digest = decode_field(field()?)?;
        let mac = decode_field(field()?)?;
        if fields.next().is_some() {
            return Err(ProofError::Malformed);
        }
        Ok(Self {
            epoch_bits,
            time: ClockMillis::new(time),
            nonce,
            body_digest,
            mac,
        })
    }

    /// Verifies the MAC and the time; the body does not have to be read first.
    pub(crate) fn verify(
        &self,
        ring: &KeyRing,
        head: CallHead<'_>,
        now: ClockMillis,
    ) -> Result<(), ProofError> {
        let keys = ring.find(self.epoch_bits).ok_or(ProofError::UnknownEpoch {
            epoch_bits: self.epoch_bits,
        })?;
        hmac::verify(&keys.call_key, &self.mac_input(head), &self.mac)
            .map_err(|_| ProofError::Mismatch)?;
        let offset = now.since(self.time).max(self.time.since(now));
        if offset > MAX_CLOCK_OFFSET_MILLIS {
            return Err(ProofError::Stale { offset });
        }
        Ok(())
    }

    /// Verifies that `body` has the digest that the MAC covers.
    pub(crate) fn verify_body(&self, body: &[u8]) -> Result<(), ProofError> {
        if digest_body(body) == self.body_digest {
            Ok(())
        } else {
            Err(ProofError::BodyMismatch)
        }
    }

    /// Returns the nonce, which the MAC of the reply covers too.
    pub(crate) const fn nonce(&self) -> u64 {
        self.nonce
    }

    fn mac_input(&self, head: CallHead<'_>) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(128);
        bytes.extend_from_slice(CALL_LABEL);
        bytes.push(self.epoch_bits);
        bytes.extend_from_slice(&self.time.millis().to_be_bytes());
        bytes.extend_from_slice(&self.nonce.to_be_bytes());
        bytes.extend_from_slice(&self.body_digest);
        bytes.extend_from_slice(head.method.as_bytes());
        bytes.push(b' ');
        bytes.extend_from_slice(head.path.as_bytes());
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
            encode_hex(&self.mac),
        )
    }
}

fn decode_field<const N: usize>(text: &str) -> Result<[u8; N], ProofError> {
    decode_hex(text).ok_or(ProofError::Malformed)
}

fn digest_body(body: &[u8]) -> [u8; SHA256_BYTES] {
    let digest = digest::digest(&digest::SHA256, body);
    let mut bytes = [0; SHA256_BYTES];
    bytes.copy_from_slice(digest.as_ref());
    bytes
}
