use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{key::FeedRevision, manifest::ManifestDigest};

/// The accepted versions that a resent manifest is looked up in.
const MOST_VERSIONS: usize = 4_096;

/// One accepted version of the manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AcceptedVersion {
    /// The version's number.
    pub(crate) version: u64,
    /// The digest of its content.
    pub(crate) digest: ManifestDigest,
    /// The revision at which it was accepted.
    pub(crate) revision: FeedRevision,
}

/// The latest accepted versions, the one in force last.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct AcceptedVersions {
    versions: VecDeque<AcceptedVersion>,
}

impl AcceptedVersions {
    /// Returns the version in force.
    pub(crate) fn in_force(&self) -> Option<&AcceptedVersion> {
        self.versions.back()
    }

    /// Returns the acceptance of exactly this content, in force or earlier.
    pub(crate) fn find(&self, version: u64, digest: ManifestDigest) -> Option<&AcceptedVersion> {
        let index = self
            .versions
            .binary_search_by_key(&version, |accepted| accepted.version)
            .ok()?;
        self.versions
            .get(index)
            .filter(|accepted| accepted.digest == digest)
    }

    /// Puts a version in force; its number is larger than every earlier one.
    pub(crate) fn accept(&mut self, accepted: AcceptedVersion) {
        if self.versions.len() == MOST_VERSIONS {
            self.versions.pop_front();
        }
        self.versions.push_back(accepted);
    }
}
