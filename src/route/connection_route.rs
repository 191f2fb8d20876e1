use std::net::{Ipv4Addr, SocketAddrV4};

use aes::cipher::{BlockDecrypt, BlockEncrypt, generic_array::GenericArray};

use crate::{
    key::{ServiceNumber, TargetKey},
    secret::KeyRing,
};

/// The length of every connection ID that an agent issues, in bytes.
pub const CONNECTION_ID_BYTES: usize = 17;
/// The length of the encrypted block, in bytes.
const BLOCK_BYTES: usize = 16;
/// The place of the epoch's bits in the first byte.
const EPOCH_SHIFT: u32 = 6;
/// Where the redundancy that refuses forgeries starts within the block.
const CHECK_START: usize = 13;
/// The largest nonce, in 24 bits.
const NONCE_MASK: u32 = 0x00ff_ffff;

/// The route that a connection ID carries.
///
/// The wire form is one byte with the key's epoch, then one AES block over
/// service (2 bytes), agent address (4 + 2), incarnation tag (2), nonce (3)
/// and three zero bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionRoute {
    /// The service that the connection belongs to.
    pub service: ServiceNumber,
    /// The agent that ends the connection.
    pub target: TargetKey,
    /// The tag of the agent's run.
    pub incarnation_tag: u16,
    /// Tells the connection IDs of one run apart, 24 bits.
    pub nonce: u32,
}

impl ConnectionRoute {
    /// Returns the connection ID under the active epoch of `keys`.
    #[must_use]
    pub fn seal(&self, keys: &KeyRing) -> [u8; CONNECTION_ID_BYTES] {
        let epoch = keys.active();
        let mut block = GenericArray::from(self.plain_block());
        epoch.route_cipher.encrypt_block(&mut block);
        let mut bytes = [0; CONNECTION_ID_BYTES];
        bytes[0] = epoch.epoch_bits << EPOCH_SHIFT;
        bytes[1..].copy_from_slice(&block);
        bytes
    }

    /// Returns the route in `bytes`, or `None` for a forged or foreign ID.
    #[must_use]
    pub fn open(bytes: &[u8], keys: &KeyRing) -> Option<Self> {
        let bytes: &[u8; CONNECTION_ID_BYTES] = bytes.try_into().ok()?;
        let epoch = keys.find(bytes[0] >> EPOCH_SHIFT)?;
        let mut block = GenericArray::clone_from_slice(&bytes[1..]);
        epoch.route_cipher.decrypt_block(&mut block);
        Self::from_block(&block)
    }

    /// Returns the epoch's bits of a connection ID, live or not.
    #[must_use]
    pub fn epoch_bits(bytes: &[u8]) -> Option<u8> {
        bytes.first().map(|byte| byte >> EPOCH_SHIFT)
    }

    fn plain_block(&self) -> [u8; BLOCK_BYTES] {
        let address = self.target.address();
        let nonce = (self.nonce & NONCE_MASK).to_be_bytes();
        let mut block = [0; BLOCK_BYTES];
        block[0..2].copy_from_slice(&self.service.number().to_be_bytes());
        block[2..6].copy_from_slice(&address.ip().octets());
        block[6..8].copy_from_slice(&address.port().to_be_bytes());
        block[8..10].copy_from_slice(&self.incarnation_tag.to_be_bytes());
        block[10..CHECK_START].copy_from_slice(&nonce[1..]);
        block
    }

    fn from_block(block: &[u8]) -> Option<Self> {
        if block[CHECK_START..BLOCK_BYTES] != [0; BLOCK_BYTES - CHECK_START] {
            return None;
        }
        let ip = Ipv4Addr::new(block[2], block[3], block[4], block[5]);
        let port = u16::from_be_bytes([block[6], block[7]]);
        Some(Self {
            service: ServiceNumber::new(u16::from_be_bytes([block[0], block[1]])),
            target: TargetKey::new(SocketAddrV4::new(ip, port)),
            incarnation_tag: u16::from_be_bytes([block[8], block[9]]),
            nonce: u32::from_be_bytes([0, block[10], block[11], block[12]]),
        })
    }
}
