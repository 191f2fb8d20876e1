use std::fmt;

use aes::{
    Aes128,
    cipher::{KeyInit, generic_array::GenericArray},
};
use cmac::Cmac;
use ring::{hkdf, hmac};

use super::{DeploymentSecret, SecretError};

/// The salt of every derivation, so that the secret serves this system alone.
const DERIVATION_SALT: &[u8] = b"cyclamenrouter key derivation 1";
/// The bits of an epoch's number that a packet carries.
const EPOCH_MASK: u8 = 0b11;

/// The keys that are derived from one generation of the secret.
pub struct EpochKeys {
    /// The low bits of the generation's number, as packets carry them.
    pub epoch_bits: u8,
    /// Encrypts the routing block of connection IDs.
    pub route_cipher: Aes128,
    /// Authenticates the headers of tunnel frames.
    pub tunnel_mac: Cmac<Aes128>,
    /// Proves calls between processes.
    pub call_key: hmac::Key,
    /// Derives stateless reset tokens.
    pub reset_key: hmac::Key,
    /// Seals tickets.
    pub ticket_key: hmac::Key,
}

impl fmt::Debug for EpochKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "EpochKeys({}, hidden)", self.epoch_bits)
    }
}

impl EpochKeys {
    fn derive(epoch: u8, secret: &[u8]) -> Self {
        let base = hkdf::Salt::new(hkdf::HKDF_SHA256, DERIVATION_SALT).extract(secret);
        Self {
            epoch_bits: epoch & EPOCH_MASK,
            route_cipher: derive_cipher(&base, b"route"),
            tunnel_mac: derive_mac(&base, b"tunnel"),
            call_key: derive_hmac(&base, b"call"),
            reset_key: derive_hmac(&base, b"reset"),
            ticket_key: derive_hmac(&base, b"ticket"),
        }
    }
}

/// Every live generation of the derived keys.
#[derive(Debug)]
pub struct KeyRing {
    active: usize,
    epochs: Vec<EpochKeys>,
}

impl KeyRing {
    /// Derives the keys of every generation.
    ///
    /// # Errors
    ///
    /// Fails when the secret does not verify.
    pub fn new(secret: &DeploymentSecret) -> Result<Self, SecretError> {
        secret.verify()?;
        let active = secret
            .epochs
            .iter()
            .position(|epoch| epoch.epoch == secret.active)
            .ok_or(SecretError::ActiveMissing {
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

    /// Returns the keys whose generation ends in `epoch_bits`, if live.
    #[must_use]
    pub fn find(&self, epoch_bits: u8) -> Option<&EpochKeys> {
        self.epochs
            .iter()
            .find(|keys| keys.epoch_bits == epoch_bits)
    }

    /// Returns every live generation, in the order of the file.
    #[must_use]
    pub fn epochs(&self) -> &[EpochKeys] {
        &self.epochs
    }
}

fn derive_cipher(base: &hkdf::Prk, label: &[u8]) -> Aes128 {
    let mut key = [0; 16];
    expand(base, label, &mut key);
    Aes128::new(GenericArray::from_slice(&key))
}

fn derive_mac(base: &hkdf::Prk, label: &[u8]) -> Cmac<Aes128> {
    let mut key = [0; 16];
    expand(base, label, &mut key);
    Cmac::new(GenericArray::from_slice(&key))
}

fn derive_hmac(base: &hkdf::Prk, label: &[u8]) -> hmac::Key {
    let mut key = [0; 32];
    expand(base, label, &mut key);
    hmac::Key::new(hmac::HMAC_SHA256, &key)
}

/// The length of a derived key, for the derivation function.
struct KeyLength(usize);

impl hkdf::KeyType for KeyLength {
    fn len(&self) -> usize {
        self.0
    }
}

fn expand(base: &hkdf::Prk, label: &[u8], key: &mut [u8]) {
    let info = [label];
    base.expand(&info, KeyLength(key.len()))
        .and_then(|material| material.fill(key))
        .expect("a key of at most 32 bytes is within the limit of HKDF-SHA256");
}
