use std::fmt;

use ring::digest;
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

use super::ServiceSpec;

/// The manifest that a build pipeline submits: the complete desired state of all services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The version of this content; each change increases it by any amount.
    pub version: u64,
    /// The version that this content replaces; 0 for the first manifest.
    pub replaces: u64,
    /// The services, in any order.
    pub services: Vec<ServiceSpec>,
}

impl Manifest {
    /// Returns the digest of the content, which is the same in every process.
    #[must_use]
    pub fn digest(&self) -> ManifestDigest {
        let text = serde_json::to_vec(self).unwrap_or_default();
        let digest = digest::digest(&digest::SHA256, &text);
        let mut bytes = [0; 32];
        bytes.copy_from_slice(digest.as_ref());
        ManifestDigest(bytes)
    }
}

/// The SHA-256 digest of a manifest's content.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ManifestDigest(#[serde_as(as = "Hex")] [u8; 32]);

impl fmt::Display for ManifestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for ManifestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ManifestDigest({self})")
    }
}
