use serde::{Deserialize, Serialize};

use crate::{
    key::FeedRevision,
    manifest::{Manifest, ManifestDigest},
};

/// An operator hands over a manifest; the call `apply`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The whole manifest; it names the version that it replaces.
    pub manifest: Manifest,
}

/// The manifest is accepted: committed by a majority and synced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyReceipt {
    /// The accepted version.
    pub version: u64,
    /// The digest of the accepted content.
    pub digest: ManifestDigest,
    /// The revision from which the feed shows the manifest.
    pub revision: FeedRevision,
    /// Whether the same content had been accepted before this call.
    pub resent: bool,
}
