use std::sync::atomic::{AtomicU64, Ordering};

use quinn_proto::crypto::HmacKey;

use super::EpochResetKey;
use crate::{
    clock::{ClockMillis, SpanMillis},
    route::{PacketHeader, PacketKind},
    secret::SecretStore,
};

/// The length of a reset token, in bytes.
const TOKEN_BYTES: usize = 16;
/// The least bytes before the token (RFC 9000, section 10.3).
const LEAST_PADDING_BYTES: usize = 5;
/// The most bytes before the token.
const MOST_PADDING_BYTES: usize = 24;
/// Makes a first byte look like that of a short header.
const SHORT_HEADER_BIT: u8 = 0x40;
/// The bits of a first byte that are drawn at random.
const RANDOM_BITS: u8 = 0x3f;
/// The least time between two resets.
const RESET_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(1);

/// Writes stateless resets for connections that no endpoint here knows.
#[derive(Debug)]
pub(super) struct ResetWriter {
    key: EpochResetKey,
    written_at: AtomicU64,
}

impl ResetWriter {
    /// Creates a writer with the reset keys of this deployment.
    pub(super) fn new(secret: SecretStore) -> Self {
        Self {
            key: EpochResetKey::new(secret),
            written_at: AtomicU64::new(0),
        }
    }

    /// Returns the reset that answers `datagram`, smaller than that.
    ///
    /// It returns `None` for a long header, for a datagram that is too small
    /// to be answered, and when another reset was written just now.
    pub(super) fn write(&self, datagram: &[u8], now: ClockMillis) -> Option<Vec<u8>> {
        let header = PacketHeader::read(datagram)?;
        if header.kind == PacketKind::Long {
            return None;
        }
        let room = datagram.len().checked_sub(TOKEN_BYTES + 1)?;
        if room < LEAST_PADDING_BYTES || !self.is_due(now) {
            return None;
        }
        let mut token = vec![0; self.key.signature_len()];
        self.key.sign(header.destination, &mut token);
        let mut reset: Vec<u8> = (0..room.min(MOST_PADDING_BYTES))
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
