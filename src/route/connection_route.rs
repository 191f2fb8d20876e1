use std::net::{Ipv4Addr, SocketAddrV4};

use aes::cipher::{BlockDecrypt, BlockEncrypt, generic_array::GenericArray};

use crate::{
    key::{ServiceNumber, TargetKey},
    secret::KeyRing,
};

/// Length of every connection ID that an agent issues, in bytes.
pub const CONNECTION_ID_BYTES: usize = 17;
/// Length of the encrypted AES block, in bytes.
const BLOCK_BYTES: usize = 16;
/// Position of the key epoch bits in the first byte.
const EPOCH_SHIFT: u32 = 6;
/// Offset in the block of the zero bytes that detect forged IDs.
const ZERO_CHECK_START: usize = 13;
/// Mask of the 24 bits of a nonce.
const NONCE_MASK: u32 = 0x00ff_ffff;

/// The route that a QUIC connection ID carries.
///
/// Wire format: one byte with the key epoch, then one AES block that encrypts
/// service (2 bytes), agent address (4 + 2), incarnation tag (2), nonce (3)
/// and three zero bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionRoute {
    /// The service that the connection belongs to.
    pub service: ServiceNumber,
    /// The agent that terminates the connection.
    pub target: TargetKey,
    /// The tag of the agent's incarnation.
    pub incarnation_tag: u16,
    /// Distinguishes the connection IDs of one incarnation; 24 bits.
    pub nonce: u32,
}

impl ConnectionRoute {
    /// Encrypts the route into a connection ID with the active key epoch.
    #[must_use]
    pub fn seal(&self, keys: &KeyRing) -> [u8; CONNECTION_ID_BYTES] {
        let epoch = keys.active();
        let mut block = GenericArray::from(self.plaintext_block());
        epoch.route_cipher.encrypt_block(&mut block);
        let mut bytes = [0; CONNECTION_ID_BYTES];
        bytes[0] = epoch.epoch_bits << EPOCH_SHIFT;
        bytes[1..].copy_from_slice(&block);
        bytes
    }

    /// Decrypts a connection ID; returns `None` if it is forged or was issued
    /// with a key that `keys` does not contain.
    #[must_use]
    pub fn open(bytes: &[u8], keys: &KeyRing) -> Option<Self> {
        let bytes: &[u8; CONNECTION_ID_BYTES] = bytes.try_into().ok()?;
        let epoch = keys.find(bytes[0] >> EPOCH_SHIFT)?;
        let mut block = GenericArray::clone_from_slice(&bytes[1..]);
        epoch.route_cipher.decrypt_block(&mut block);
        Self::from_plaintext(&block)
    }

    /// Returns the key epoch bits of a connection ID, without looking up the key.
    #[must_use]
    pub fn epoch_bits(bytes: &[u8]) -> Option<u8> {
        bytes.first().map(|byte| byte >> EPOCH_SHIFT)
    }

    fn plaintext_block(&self) -> [u8; BLOCK_BYTES] {
        let address = self.target.address();
        let nonce = (self.nonce & NONCE_MASK).to_be_bytes();
        let mut block = [0; BLOCK_BYTES];
        block[0..2].copy_from_slice(&self.service.number().to_be_bytes());
        block[2..6].copy_from_slice(&address.ip().octets());
        block[6..8].copy_from_slice(&address.port().to_be_bytes());
        block[8..10].copy_from_slice(&self.incarnation_tag.to_be_bytes());
        block[10..ZERO_CHECK_START].copy_from_slice(&nonce[1..]);
        block
    }

    fn from_plaintext(block: &[u8]) -> Option<Self> {
        if block[ZERO_CHECK_START..BLOCK_BYTES] != [0; BLOCK_BYTES - ZERO_CHECK_START] {
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
