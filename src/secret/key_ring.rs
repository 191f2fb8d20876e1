use std::fmt;

use aes::{
    Aes128,
    cipher::{KeyInit, generic_array::GenericArray},
};
use cmac::Cmac;
use ring::{hkdf, hmac};

use super::{DeploymentSecret, SecretError};

/// The HKDF salt; separates these keys from those that another system derives
/// from the same secret.
const DERIVATION_SALT: &[u8] = b"cyclamenrouter key derivation 1";
/// The bits of an epoch's number that packets carry.
const EPOCH_MASK: u8 = 0b11;

/// The keys that are derived from the secret of one epoch.
pub struct EpochKeys {
    /// The low bits of the epoch's number, as packets carry them.
    pub epoch_bits: u8,
    /// Encrypts the routing block of connection IDs.
    pub route_cipher: Aes128,
    /// Authenticates the headers of tunnel frames.
    pub tunnel_mac: Cmac<Aes128>,
    /// Authenticates calls and replies between processes, and replica link frames.
    pub call_key: hmac::Key,
    /// Derives stateless reset tokens.
    pub reset_key: hmac::Key,
    /// Authenticates tickets.
    pub ticket_key: hmac::Key,
}

impl fmt::Debug for EpochKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "EpochKeys({}, hidden)", self.epoch_bits)
    }
}

impl EpochKeys {
    fn derive(epoch: u8, secret: &[u8]) -> Self {
        let prk = hkdf::Salt::new(hkdf::HKDF_SHA256, DERIVATION_SALT).extract(secret);
        Self {
            epoch_bits: epoch & EPOCH_MASK,
            route_cipher: derive_cipher(&prk, b"route"),
            tunnel_mac: derive_mac(&prk, b"tunnel"),
            call_key: derive_hmac_key(&prk, b"call"),
            reset_key: derive_hmac_key(&prk, b"reset"),
            ticket_key: derive_hmac_key(&prk, b"ticket"),
        }
    }
}

/// The derived keys of every accepted epoch.
#[derive(Debug)]
pub struct KeyRing {
    active: usize,
    epochs: Vec<EpochKeys>,
}

impl KeyRing {
    /// Derives the keys of every epoch.
    ///
    /// # Errors
    ///
    /// Fails when the secret is invalid.
    pub fn new(secret: &DeploymentSecret) -> Result<Self, SecretError> {
        secret.validate()?;
        let active = secret
            .epochs
            .iter()
            .position(|epoch| epoch.epoch == secret.active)
            .ok_or(SecretError::UnknownActiveEpoch {
                active: secret.active,
            })?;
        let epochs = secret
            .epochs
            .iter()
            .map(|epoch| EpochKeys::derive(epoch.epoch, &epoch.secret))
            .collect();
        Ok(Self { active, epochs })
    }

    /// Returns the keys that new packets and calls use.
    #[must_use]
    pub fn active(&self) -> &EpochKeys {
        &self.epochs[self.active]
    }

    /// Returns the keys of the epoch whose low bits are `epoch_bits`, if accepted.
    #[must_use]
    pub fn find(&self, epoch_bits: u8) -> Option<&EpochKeys> {
        self.epochs
            .iter()
            .find(|keys| keys.epoch_bits == epoch_bits)
    }

    /// Returns the keys of every accepted epoch, in the order of the file.
    #[must_use]
    pub fn epochs(&self) -> &[EpochKeys] {
        &self.epochs
    }
}

fn derive_cipher(prk: &hkdf::Prk, label: &[u8]) -> Aes128 {
    let mut key = [0; 16];
    expand_key(prk, label, &mut key);
    Aes128::new(GenericArray::from_slice(&key))
}

fn derive_mac(prk: &hkdf::Prk, label: &[u8]) -> Cmac<Aes128> {
    let mut key = [0; 16];
    expand_key(prk, label, &mut key);
    Cmac::new(GenericArray::from_slice(&key))
}

fn derive_hmac_key(prk: &hkdf::Prk, label: &[u8]) -> hmac::Key {
    let mut key = [0; 32];
    expand_key(prk, label, &mut key);
    hmac::Key::new(hmac::HMAC_SHA256, &key)
}

/// The length of a derived key in bytes, for HKDF.
struct KeyLength(usize);

impl hkdf::KeyType for KeyLength {
    fn len(&self) -> usize {
        self.0
    }
}

fn expand_key(prk: &hkdf::Prk, label: &[u8], key: &mut [u8]) {
    let info = [label];
    prk.expand(&info, KeyLength(key.len()))
        .and_then(|output| output.fill(key))
        .expect("a key of at most 32 bytes is within the limit of HKDF-SHA256");
}
