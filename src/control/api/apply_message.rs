use serde::{Deserialize, Serialize};

use crate::{
    key::FeedRevision,
    manifest::{Manifest, ManifestDigest},
};

/// Request of the call `apply`: an operator submits a manifest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The complete manifest, which names the version it replaces.
    pub manifest: Manifest,
}

/// Reply to `apply`; a majority has committed and synced the manifest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyReply {
    /// The accepted version.
    pub version: u64,
    /// The digest of the accepted content.
    pub digest: ManifestDigest,
    /// The first feed revision that contains the manifest.
    pub revision: FeedRevision,
    /// Whether the same content was already accepted before this call.
    pub resent: bool,
}
