use std::{fmt, fs, os::unix::fs::PermissionsExt, path::Path};

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

use super::SecretError;

/// The length of an epoch's secret in bytes.
const SECRET_BYTES: usize = 32;
/// The permission bits of group and others.
const NON_OWNER_MODE_BITS: u32 = 0o077;
/// The most epochs that are accepted at the same time.
const MAX_EPOCHS: usize = 2;
/// The bits of an epoch's number that packets carry.
const EPOCH_MASK: u8 = 0b11;

/// The secret of one key epoch.
#[serde_as]
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretEpoch {
    /// The epoch's number; consecutive epochs differ by one.
    pub epoch: u8,
    /// 32 bytes, written as hexadecimal digits in the file.
    #[serde_as(as = "Hex")]
    pub secret: Vec<u8>,
}

impl fmt::Debug for SecretEpoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SecretEpoch({}, hidden)", self.epoch)
    }
}

/// The content of the secret file: one epoch, or two during a rotation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentSecret {
    /// The epoch that new connection IDs, frames and calls use.
    pub active: u8,
    /// Every epoch that is accepted.
    pub epochs: Vec<SecretEpoch>,
}

impl DeploymentSecret {
    /// Generates a random secret with a single epoch.
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

    /// Reads and validates the secret file at `path`.
    ///
    /// # Errors
    ///
    /// Fails when group or others have any permission on the file, or when its
    /// content is invalid.
    pub fn load(path: &Path) -> Result<Self, SecretError> {
        let unreadable = |cause| SecretError::Unreadable {
            path: path.to_owned(),
            cause,
        };
        let metadata = fs::metadata(path).map_err(unreadable)?;
        let mode = metadata.permissions().mode() & 0o777;
        if mode & NON_OWNER_MODE_BITS != 0 {
            return Err(SecretError::InsecurePermissions {
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
        secret.validate()?;
        Ok(secret)
    }

    /// Checks the number of epochs, their lengths and their numbers.
    ///
    /// # Errors
    ///
    /// Fails with the first violation found.
    pub fn validate(&self) -> Result<(), SecretError> {
        let count = self.epochs.len();
        if count == 0 || count > MAX_EPOCHS {
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
            return Err(SecretError::AmbiguousEpochs {
                first: first.epoch,
                second: second.epoch,
            });
        }
        if !self.epochs.iter().any(|epoch| epoch.epoch == self.active) {
            return Err(SecretError::UnknownActiveEpoch {
                active: self.active,
            });
        }
        Ok(())
    }
}
