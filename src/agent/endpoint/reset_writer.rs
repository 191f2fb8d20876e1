use std::sync::atomic::{AtomicU64, Ordering};

use quinn_proto::crypto::HmacKey;

use super::EpochResetKey;
use crate::{
    clock::{ClockMillis, SpanMillis},
    route::{HeaderForm, PacketHeader},
    secret::SecretStore,
};

/// The length of a reset token, in bytes.
const TOKEN_BYTES: usize = 16;
/// The fewest bytes before the token (RFC 9000, section 10.3).
const MIN_PADDING_BYTES: usize = 5;
/// The most bytes before the token.
const MAX_PADDING_BYTES: usize = 24;
/// The first byte's fixed bit, without the long-header bit.
const SHORT_HEADER_BIT: u8 = 0x40;
/// The random bits of the first byte.
const RANDOM_BITS: u8 = 0x3f;
/// The minimum interval between two resets.
const RESET_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(1);

/// Writes stateless resets for connections unknown to the endpoint.
#[derive(Debug)]
pub(super) struct ResetWriter {
    key: EpochResetKey,
    written_at: AtomicU64,
}

impl ResetWriter {
    /// Creates a writer with the reset keys of the deployment secret.
    pub(super) fn new(secret: SecretStore) -> Self {
        Self {
            key: EpochResetKey::new(secret),
            written_at: AtomicU64::new(0),
        }
    }

    /// Returns a reset for `datagram`, smaller than it to prevent loops.
    ///
    /// Returns `None` for a long header, for a datagram that is too small, and
    /// within the minimum interval after another reset.
    pub(super) fn write(&self, datagram: &[u8], now: ClockMillis) -> Option<Vec<u8>> {
        let header = PacketHeader::read(datagram)?;
        if header.form == HeaderForm::Long {
            return None;
        }
        let room = datagram.len().checked_sub(TOKEN_BYTES + 1)?;
        if room < MIN_PADDING_BYTES || !self.is_due(now) {
            return None;
        }
        let mut token = vec![0; self.key.signature_len()];
        self.key.sign(header.destination, &mut token);
        let mut reset: Vec<u8> = (0..room.min(MAX_PADDING_BYTES))
            .map(|_| rand::random())
            .collect();
        reset[0] = SHORT_HEADER_BIT | (reset[0] & RANDOM_BITS);
        reset.extend_from_slice(&token[..TOKEN_BYTES]);
        Some(reset)
    }

    fn is_due(&self, now: ClockMillis) -> bool {
        let written_at = ClockMillis::new(self.written_at.load(Ordering::Relaxed));
        let is_due = now.since(written_at) >= RESET_INTERVAL_MILLIS;
        if is_due {
            self.written_at.store(now.millis(), Ordering::Relaxed);
        }
        is_due
    }
}
