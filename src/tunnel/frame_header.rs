use std::net::{Ipv4Addr, SocketAddrV4};

use cmac::Mac;

use super::FrameError;
use crate::{
    key::{ServiceNumber, TargetKey},
    route::{MAX_CHAIN_LENGTH, TargetChain},
    secret::{EpochKeys, KeyRing},
};

/// Length of the header without candidates, in bytes.
const FIXED_BYTES: usize = 20;
/// Offset of the MAC in the header.
const MAC_START: usize = 12;
/// Length of the truncated MAC, in bytes.
const MAC_BYTES: usize = FIXED_BYTES - MAC_START;
/// Length of one candidate, in bytes.
const CANDIDATE_BYTES: usize = 6;
/// Leading payload bytes that the MAC covers; QUIC itself authenticates the rest.
const AUTHENTICATED_PAYLOAD_BYTES: usize = 32;
/// Length of the longest header, in bytes.
pub const MAX_HEADER_BYTES: usize = FIXED_BYTES + MAX_CHAIN_LENGTH * CANDIDATE_BYTES;

const EPOCH_SHIFT: u32 = 6;
const ECHO_BIT: u8 = 0b0010_0000;
const ECN_SHIFT: u32 = 3;
const ECN_MASK: u8 = 0b11;
const CANDIDATE_COUNT_MASK: u8 = 0b111;

/// The type of a tunnel frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameKind {
    /// A caller's datagram, from a balancer to an agent.
    Forward,
    /// A datagram for a caller, from an agent to a balancer.
    Answer,
    /// Returns the echo number of a received frame; no payload.
    Echo,
    /// Announces to an agent that the balancer is shutting down; no payload.
    Leave,
    /// Requests an echo; no payload.
    Probe,
    /// A first packet that an agent forwards to the next candidate.
    ///
    /// The payload starts with the balancer's tunnel address (4 + 2 bytes).
    PassOn,
    /// A message between agents; the MAC covers the whole payload.
    Peer,
}

/// The header of a tunnel frame.
///
/// Wire format, with lengths in bytes: kind (1), key epoch, echo flag, ECN bits
/// and number of candidates (1), service (2), caller address (4 + 2), echo
/// number (2), MAC (8), then the candidates (6 each).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameHeader {
    /// The type of the frame.
    pub kind: FrameKind,
    /// The service that the datagram belongs to.
    pub service: ServiceNumber,
    /// The caller's address as seen by the balancer.
    pub caller: SocketAddrV4,
    /// The ECN bits of the datagram's IP header.
    pub ecn: u8,
    /// The number for the receiver to echo, if an echo is requested.
    pub echo: Option<u16>,
    /// The candidates that follow the receiver; used for first packets.
    pub chain: TargetChain,
}

impl FrameHeader {
    /// Creates the header of a frame without candidates.
    #[must_use]
    pub const fn new(kind: FrameKind, service: ServiceNumber, caller: SocketAddrV4) -> Self {
        Self {
            kind,
            service,
            caller,
            ecn: 0,
            echo: None,
            chain: TargetChain::new(),
        }
    }

    /// Sets the candidates that follow the receiver.
    #[must_use]
    pub const fn with_chain(mut self, chain: TargetChain) -> Self {
        self.chain = chain;
        self
    }

    /// Sets the number to echo.
    #[must_use]
    pub const fn with_echo(mut self, echo: Option<u16>) -> Self {
        self.echo = echo;
        self
    }

    /// Sets the ECN bits of the datagram.
    #[must_use]
    pub const fn with_ecn(mut self, ecn: u8) -> Self {
        self.ecn = ecn & ECN_MASK;
        self
    }

    /// Clears `frame` and writes the header with its MAC and the payload to it.
    pub fn write(&self, payload: &[u8], keys: &KeyRing, frame: &mut Vec<u8>) {
        let epoch = keys.active();
        frame.clear();
        frame.push(self.kind.code());
        frame.push(self.flags(epoch.epoch_bits));
        frame.extend_from_slice(&self.service.number().to_be_bytes());
        push_address(frame, self.caller);
        frame.extend_from_slice(&self.echo.unwrap_or(0).to_be_bytes());
        frame.extend_from_slice(&[0; MAC_BYTES]);
        for target in self.chain.iter() {
            push_address(frame, target.address());
        }
        let header_length = frame.len();
        frame.extend_from_slice(payload);
        let truncated_mac = compute_mac(epoch, self.kind, frame, header_length);
        frame[MAC_START..FIXED_BYTES].copy_from_slice(&truncated_mac);
    }

    /// Verifies and parses `frame`; returns its header and payload.
    ///
    /// # Errors
    ///
    /// Fails when the frame is truncated, of an unknown kind or key epoch, or not authentic.
    pub fn read<'a>(frame: &'a [u8], keys: &KeyRing) -> Result<(Self, &'a [u8]), FrameError> {
        let truncated = FrameError::Truncated {
            length: frame.len(),
        };
        let fixed = frame.get(..FIXED_BYTES).ok_or(truncated)?;
        let kind = FrameKind::from_code(fixed[0])?;
        let count = usize::from(fixed[1] & CANDIDATE_COUNT_MASK);
        let header_length = FIXED_BYTES + count * CANDIDATE_BYTES;
        if frame.len() < header_length {
            return Err(truncated);
        }
        let epoch_bits = fixed[1] >> EPOCH_SHIFT;
        let epoch = keys
            .find(epoch_bits)
            .ok_or(FrameError::UnknownEpoch { epoch_bits })?;
        verify_mac(epoch, kind, frame, header_length)?;
        let mut chain = TargetChain::new();
        for candidate in frame[FIXED_BYTES..header_length].chunks_exact(CANDIDATE_BYTES) {
            chain.push(TargetKey::new(parse_address(candidate)));
        }
        let header = Self {
            kind,
            service: ServiceNumber::new(u16::from_be_bytes([fixed[2], fixed[3]])),
            caller: parse_address(&fixed[4..10]),
            ecn: (fixed[1] >> ECN_SHIFT) & ECN_MASK,
            echo: (fixed[1] & ECHO_BIT != 0).then(|| u16::from_be_bytes([fixed[10], fixed[11]])),
            chain,
        };
        Ok((header, &frame[header_length..]))
    }

    fn flags(&self, epoch_bits: u8) -> u8 {
        let echo = if self.echo.is_some() { ECHO_BIT } else { 0 };
        let count = u8::try_from(self.chain.len()).unwrap_or(0);
        epoch_bits << EPOCH_SHIFT | echo | self.ecn << ECN_SHIFT | count
    }
}

impl FrameKind {
    const fn code(self) -> u8 {
        match self {
            Self::Forward => 1,
            Self::Answer => 2,
            Self::Echo => 3,
            Self::Peer => 4,
            Self::Probe => 5,
            Self::PassOn => 6,
            Self::Leave => 7,
        }
    }

    const fn from_code(kind: u8) -> Result<Self, FrameError> {
        match kind {
            1 => Ok(Self::Forward),
            2 => Ok(Self::Answer),
            3 => Ok(Self::Echo),
            4 => Ok(Self::Peer),
            5 => Ok(Self::Probe),
            6 => Ok(Self::PassOn),
            7 => Ok(Self::Leave),
            _ => Err(FrameError::UnknownKind { kind }),
        }
    }

    /// Returns how many bytes of a payload of `length` bytes the MAC covers.
    fn authenticated_bytes(self, length: usize) -> usize {
        match self {
            Self::Peer => length,
            Self::Forward
            | Self::Answer
            | Self::Echo
            | Self::Probe
            | Self::PassOn
            | Self::Leave => length.min(AUTHENTICATED_PAYLOAD_BYTES),
        }
    }
}

fn start_mac(
    epoch: &EpochKeys,
    kind: FrameKind,
    frame: &[u8],
    header_length: usize,
) -> cmac::Cmac<aes::Aes128> {
    let payload = &frame[header_length..];
    let mut mac = epoch.tunnel_mac.clone();
    mac.update(&frame[..MAC_START]);
    mac.update(&frame[FIXED_BYTES..header_length]);
    mac.update(&payload[..kind.authenticated_bytes(payload.len())]);
    mac
}

fn compute_mac(
    epoch: &EpochKeys,
    kind: FrameKind,
    frame: &[u8],
    header_length: usize,
) -> [u8; MAC_BYTES] {
    let full_mac = start_mac(epoch, kind, frame, header_length)
        .finalize()
        .into_bytes();
    let mut truncated_mac = [0; MAC_BYTES];
    truncated_mac.copy_from_slice(&full_mac[..MAC_BYTES]);
    truncated_mac
}

fn verify_mac(
    epoch: &EpochKeys,
    kind: FrameKind,
    frame: &[u8],
    header_length: usize,
) -> Result<(), FrameError> {
    start_mac(epoch, kind, frame, header_length)
        .verify_truncated_left(&frame[MAC_START..FIXED_BYTES])
        .map_err(|_| FrameError::Forged)
}

fn push_address(frame: &mut Vec<u8>, address: SocketAddrV4) {
    frame.extend_from_slice(&address.ip().octets());
    frame.extend_from_slice(&address.port().to_be_bytes());
}

fn parse_address(bytes: &[u8]) -> SocketAddrV4 {
    let ip = Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]);
    SocketAddrV4::new(ip, u16::from_be_bytes([bytes[4], bytes[5]]))
}
