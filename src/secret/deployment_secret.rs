use std::{fmt, fs, os::unix::fs::PermissionsExt, path::Path};

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

use super::SecretError;

/// The length of an epoch's secret in bytes.
const SECRET_BYTES: usize = 32;
/// Permission bits of group and others.
const FOREIGN_MODE: u32 = 0o077;
/// The most epochs that are live at once.
const MOST_EPOCHS: usize = 2;
/// The bits of an epoch's number that a packet carries.
const EPOCH_MASK: u8 = 0b11;

/// One generation of the secret.
#[serde_as]
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretEpoch {
    /// The generation's number; consecutive generations differ by one.
    pub epoch: u8,
    /// Thirty-two bytes, as hexadecimal digits in the file.
    #[serde_as(as = "Hex")]
    pub secret: Vec<u8>,
}

impl fmt::Debug for SecretEpoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SecretEpoch({}, hidden)", self.epoch)
    }
}

/// What the secret file holds: one generation, or two while a rotation runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentSecret {
    /// The generation that new connection IDs, frames and calls use.
    pub active: u8,
    /// Every generation that is still accepted.
    pub epochs: Vec<SecretEpoch>,
}

impl DeploymentSecret {
    /// Draws a fresh secret with a single generation.
    #[must_use]
    pub fn random(epoch: u8) -> Self {
        let secret: [u8; SECRET_BYTES] = rand::random();
        Self {
            active: epoch,
            epochs: vec![SecretEpoch {
                epoch,
                secret: secret.to_vec(),
            }],
        }
    }

    /// Reads and verifies the secret in the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails when others may read the file, or when its content is unusable.
    pub fn load(path: &Path) -> Result<Self, SecretError> {
        let unreadable = |cause| SecretError::Unreadable {
            path: path.to_owned(),
            cause,
        };
        let metadata = fs::metadata(path).map_err(unreadable)?;
        let mode = metadata.permissions().mode() & 0o777;
        if mode & FOREIGN_MODE != 0 {
            return Err(SecretError::Exposed {
                path: path.to_owned(),
                mode,
            });
        }
        let text = fs::read_to_string(path).map_err(unreadable)?;
        let secret: Self = serde_json::from_str(&text).map_err(|error| SecretError::Malformed {
            path: path.to_owned(),
            line: error.line(),
            column: error.column(),
        })?;
        secret.verify()?;
        Ok(secret)
    }

    /// Verifies the number, the lengths and the numbering of the generations.
    ///
    /// # Errors
    ///
    /// Fails with the first rule that is broken.
    pub fn verify(&self) -> Result<(), SecretError> {
        let count = self.epochs.len();
        if count == 0 || count > MOST_EPOCHS {
            return Err(SecretError::EpochCount { count });
        }
        for epoch in &self.epochs {
            if epoch.secret.len() != SECRET_BYTES {
                return Err(SecretError::WrongLength {
                    epoch: epoch.epoch,
                    length: epoch.secret.len(),
                });
            }
        }
        if let [first, second] = self.epochs.as_slice()
            && first.epoch & EPOCH_MASK == second.epoch & EPOCH_MASK
        {
            return Err(SecretError::EpochClash {
                first: first.epoch,
                second: second.epoch,
            });
        }
        if !self.epochs.iter().any(|epoch| epoch.epoch == self.active) {
            return Err(SecretError::ActiveMissing {
                active: self.active,
            });
        }
        Ok(())
    }
}
