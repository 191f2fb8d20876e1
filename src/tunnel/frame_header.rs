use std::net::{Ipv4Addr, SocketAddrV4};

use cmac::Mac;

use super::FrameError;
use crate::{
    key::{ServiceNumber, TargetKey},
    route::{MAX_CHAIN_LENGTH, TargetChain},
    secret::{EpochKeys, KeyRing},
};

/// The length of the header without candidates, in bytes.
const FIXED_BYTES: usize = 20;
/// Where the proof starts within the header.
const PROOF_START: usize = 12;
/// The length of the proof, in bytes.
const PROOF_BYTES: usize = FIXED_BYTES - PROOF_START;
/// The length of one candidate, in bytes.
const CANDIDATE_BYTES: usize = 6;
/// The part of a datagram under the proof; QUIC authenticates the rest itself.
const PROVED_PAYLOAD_BYTES: usize = 32;
/// The longest header, in bytes.
pub const LONGEST_HEADER_BYTES: usize = FIXED_BYTES + MAX_CHAIN_LENGTH * CANDIDATE_BYTES;

const EPOCH_SHIFT: u32 = 6;
const ECHO_BIT: u8 = 0b0010_0000;
const ECN_SHIFT: u32 = 3;
const ECN_MASK: u8 = 0b11;
const COUNT_MASK: u8 = 0b111;

/// What a tunnel frame is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameKind {
    /// A caller's datagram on its way to an agent.
    Forward,
    /// An agent's datagram on its way to a caller.
    Answer,
    /// Answers the echo number of a frame; carries nothing.
    Echo,
    /// Tells agents that a balancer stops; carries nothing.
    Leave,
    /// Asks for an echo; carries nothing.
    Probe,
    /// A first packet that an agent passes on to the next candidate.
    ///
    /// The payload starts with the balancer's tunnel address (4 + 2 bytes).
    PassOn,
    /// A message between agents; all of it is under the proof.
    Peer,
}

/// The header of a tunnel frame.
///
/// The wire form, in bytes: kind (1), key epoch, echo flag, ECN bits and
/// number of candidates (1), service (2), caller address (4 + 2), echo number
/// (2), proof (8), then the candidates (6 each).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameHeader {
    /// What the frame is for.
    pub kind: FrameKind,
    /// The service that the datagram belongs to.
    pub service: ServiceNumber,
    /// The caller's address as the balancer saw it.
    pub caller: SocketAddrV4,
    /// The congestion bits of the datagram's IP header.
    pub ecn: u8,
    /// The number that the receiver is asked to echo.
    pub echo: Option<u16>,
    /// The candidates after the receiver, for a first packet.
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

    /// Returns the header with the candidates after the receiver.
    #[must_use]
    pub const fn with_chain(mut self, chain: TargetChain) -> Self {
        self.chain = chain;
        self
    }

    /// Returns the header with a number to echo.
    #[must_use]
    pub const fn with_echo(mut self, echo: Option<u16>) -> Self {
        self.echo = echo;
        self
    }

    /// Returns the header with the congestion bits of the datagram.
    #[must_use]
    pub const fn with_ecn(mut self, ecn: u8) -> Self {
        self.ecn = ecn & ECN_MASK;
        self
    }

    /// Writes header and payload to `frame`, which is cleared first.
    pub fn write(&self, payload: &[u8], keys: &KeyRing, frame: &mut Vec<u8>) {
        let epoch = keys.active();
        frame.clear();
        frame.push(self.kind.code());
        frame.push(self.flags(epoch.epoch_bits));
        frame.extend_from_slice(&self.service.number().to_be_bytes());
        push_address(frame, self.caller);
        frame.extend_from_slice(&self.echo.unwrap_or(0).to_be_bytes());
        frame.extend_from_slice(&[0; PROOF_BYTES]);
        for target in self.chain.iter() {
            push_address(frame, target.address());
        }
        let header_length = frame.len();
        frame.extend_from_slice(payload);
        let proof = prove(epoch, self.kind, frame, header_length);
        frame[PROOF_START..FIXED_BYTES].copy_from_slice(&proof);
    }

    /// Reads the header of `frame` and returns it with the payload.
    ///
    /// # Errors
    ///
    /// Fails when the frame is truncated, unknown or not authentic.
    pub fn read<'a>(frame: &'a [u8], keys: &KeyRing) -> Result<(Self, &'a [u8]), FrameError> {
        let truncated = FrameError::Truncated {
            length: frame.len(),
        };
        let fixed = frame.get(..FIXED_BYTES).ok_or(truncated)?;
        let kind = FrameKind::from_code(fixed[0])?;
        let count = usize::from(fixed[1] & COUNT_MASK);
        let header_length = FIXED_BYTES + count * CANDIDATE_BYTES;
        if frame.len() < header_length {
            return Err(truncated);
        }
        let epoch_bits = fixed[1] >> EPOCH_SHIFT;
        let epoch = keys
            .find(epoch_bits)
            .ok_or(FrameError::UnknownEpoch { epoch_bits })?;
        verify(epoch, kind, frame, header_length)?;
        let mut chain = TargetChain::new();
        for candidate in frame[FIXED_BYTES..header_length].chunks_exact(CANDIDATE_BYTES) {
            chain.push(TargetKey::new(read_address(candidate)));
        }
        let header = Self {
            kind,
            service: ServiceNumber::new(u16::from_be_bytes([fixed[2], fixed[3]])),
            caller: read_address(&fixed[4..10]),
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

    /// Returns how much of a payload of `length` bytes is under the proof.
    fn proved_bytes(self, length: usize) -> usize {
        match self {
            Self::Peer => length,
            Self::Forward
            | Self::Answer
            | Self::Echo
            | Self::Probe
            | Self::PassOn
            | Self::Leave => length.min(PROVED_PAYLOAD_BYTES),
        }
    }
}

fn prepare(
    epoch: &EpochKeys,
    kind: FrameKind,
    frame: &[u8],
    header_length: usize,
) -> cmac::Cmac<aes::Aes128> {
    let payload = &frame[header_length..];
    let mut mac = epoch.tunnel_mac.clone();
    mac.update(&frame[..PROOF_START]);
    mac.update(&frame[FIXED_BYTES..header_length]);
    mac.update(&payload[..kind.proved_bytes(payload.len())]);
    mac
}

fn prove(
    epoch: &EpochKeys,
    kind: FrameKind,
    frame: &[u8],
    header_length: usize,
) -> [u8; PROOF_BYTES] {
    let tag = prepare(epoch, kind, frame, header_length)
        .finalize()
        .into_bytes();
    let mut proof = [0; PROOF_BYTES];
    proof.copy_from_slice(&tag[..PROOF_BYTES]);
    proof
}

fn verify(
    epoch: &EpochKeys,
    kind: FrameKind,
    frame: &[u8],
    header_length: usize,
) -> Result<(), FrameError> {
    prepare(epoch, kind, frame, header_length)
        .verify_truncated_left(&frame[PROOF_START..FIXED_BYTES])
        .map_err(|_| FrameError::Forged)
}

fn push_address(frame: &mut Vec<u8>, address: SocketAddrV4) {
    frame.extend_from_slice(&address.ip().octets());
    frame.extend_from_slice(&address.port().to_be_bytes());
}

fn read_address(bytes: &[u8]) -> SocketAddrV4 {
    let ip = Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]);
    SocketAddrV4::new(ip, u16::from_be_bytes([bytes[4], bytes[5]]))
}
