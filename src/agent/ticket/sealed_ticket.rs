use std::{
    fmt,
    fmt::Write,
    net::{Ipv4Addr, SocketAddrV4},
};

use ring::hmac;
use thiserror::Error;

use crate::{
    clock::ClockMillis,
    key::{IncarnationId, ServiceNumber, TargetKey},
    secret::KeyRing,
};

/// The prefix of every ticket's text, with the format version.
const TEXT_PREFIX: &str = "cyt1-";
/// The length of a ticket without its seal.
const CONTENT_BYTES: usize = 33;
/// The length of the seal, a truncated HMAC.
const SEAL_BYTES: usize = 16;
/// The length of a ticket with its seal.
const TICKET_BYTES: usize = CONTENT_BYTES + SEAL_BYTES;

/// Why an idempotency key is not a valid ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum TicketError {
    /// The key does not have the format of a ticket; nothing ever ran under it.
    #[error("the key is not a ticket")]
    Malformed,
    /// The key has the format of a ticket, but no live secret verifies its seal.
    ///
    /// It may be an old ticket under which a request ran.
    #[error("no live secret verifies the seal of this ticket")]
    InvalidSeal,
}

/// The content of a ticket whose seal was verified or is about to be computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SealedTicket {
    /// The target whose agent minted it; only that agent may run it.
    pub(crate) home: TargetKey,
    /// The service of that target.
    pub(crate) service: ServiceNumber,
    /// The incarnation of that agent.
    pub(crate) incarnation: IncarnationId,
    /// The serial number, from 1 in order of minting.
    pub(crate) serial: u64,
    /// When it expires, by the clock of that incarnation.
    pub(crate) expires: ClockMillis,
}

impl SealedTicket {
    /// Returns the ticket as text, sealed with the active key.
    pub(crate) fn seal(&self, keys: &KeyRing) -> String {
        let active = keys.active();
        let content = self.encode(active.epoch_bits);
        let seal = hmac::sign(&active.ticket_key, &content);
        let mut text = String::with_capacity(TEXT_PREFIX.len() + 2 * TICKET_BYTES);
        text.push_str(TEXT_PREFIX);
        for byte in content.iter().chain(&seal.as_ref()[..SEAL_BYTES]) {
            // Writing into a string cannot fail.
            let _ = write!(text, "{byte:02x}");
        }
        text
    }

    /// Parses and verifies the idempotency key of a request.
    ///
    /// # Errors
    ///
    /// Fails when the key is not a ticket or no live secret verifies its seal.
    pub(crate) fn open(text: &str, keys: &KeyRing) -> Result<Self, TicketError> {
        let bytes = decode_hex(text).ok_or(TicketError::Malformed)?;
        let (content, seal) = bytes.split_at(CONTENT_BYTES);
        let epoch = keys.find(content[0]).ok_or(TicketError::InvalidSeal)?;
        let expected = hmac::sign(&epoch.ticket_key, content);
        if !constant_time_eq(&expected.as_ref()[..SEAL_BYTES], seal) {
            return Err(TicketError::InvalidSeal);
        }
        Ok(Self::decode(content))
    }

    fn encode(&self, epoch_bits: u8) -> [u8; CONTENT_BYTES] {
        let address = self.home.address();
        let mut content = [0; CONTENT_BYTES];
        content[0] = epoch_bits;
        content[1..5].copy_from_slice(&address.ip().octets());
        content[5..7].copy_from_slice(&address.port().to_be_bytes());
        content[7..9].copy_from_slice(&self.service.number().to_be_bytes());
        content[9..17].copy_from_slice(&self.incarnation.number().to_be_bytes());
        content[17..25].copy_from_slice(&self.serial.to_be_bytes());
        content[25..33].copy_from_slice(&self.expires.millis().to_be_bytes());
        content
    }

    fn decode(content: &[u8]) -> Self {
        let ip = Ipv4Addr::new(content[1], content[2], content[3], content[4]);
        let port = u16::from_be_bytes([content[5], content[6]]);
        Self {
            home: TargetKey::new(SocketAddrV4::new(ip, port)),
            service: ServiceNumber::new(u16::from_be_bytes([content[7], content[8]])),
            incarnation: IncarnationId::new(read_u64(&content[9..17])),
            serial: read_u64(&content[17..25]),
            expires: ClockMillis::new(read_u64(&content[25..33])),
        }
    }
}

impl fmt::Display for SealedTicket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}/{}/{}",
            self.home, self.incarnation, self.serial
        )
    }
}

fn read_u64(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}

fn decode_hex(text: &str) -> Option<[u8; TICKET_BYTES]> {
    let digits = text.strip_prefix(TEXT_PREFIX)?.as_bytes();
    if digits.len() != 2 * TICKET_BYTES {
        return None;
    }
    let mut bytes = [0; TICKET_BYTES];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
    }
    Some(bytes)
}

fn hex_digit(symbol: u8) -> Option<u8> {
    match symbol {
        b'0'..=b'9' => Some(symbol - b'0'),
        b'a'..=b'f' => Some(symbol - b'a' + 10),
        _ => None,
    }
}

/// Compares in constant time, so that the duration does not reveal the first difference.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |found, (one, other)| found | (one ^ other));
    left.len() == right.len() && difference == 0
}
