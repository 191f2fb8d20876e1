use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{key::FeedRevision, manifest::ManifestDigest};

/// The maximum number of accepted versions kept to recognise a resent manifest.
const MAX_ACCEPTED_VERSIONS: usize = 4_096;

/// One accepted version of the manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AcceptedVersion {
    /// The manifest's version number.
    pub(crate) version: u64,
    /// The digest of the manifest's content.
    pub(crate) digest: ManifestDigest,
    /// The feed revision at which it was accepted.
    pub(crate) revision: FeedRevision,
}

/// The most recently accepted versions in ascending order; the last one is in force.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct AcceptedVersions {
    versions: VecDeque<AcceptedVersion>,
}

impl AcceptedVersions {
    /// Returns the version in force.
    pub(crate) fn in_force(&self) -> Option<&AcceptedVersion> {
        self.versions.back()
    }

    /// Finds an accepted version with this number and digest, in force or earlier.
    pub(crate) fn find(&self, version: u64, digest: ManifestDigest) -> Option<&AcceptedVersion> {
        let index = self
            .versions
            .binary_search_by_key(&version, |accepted| accepted.version)
            .ok()?;
        self.versions
            .get(index)
            .filter(|accepted| accepted.digest == digest)
    }

    /// Puts a version in force. Its number must be larger than every earlier one.
    pub(crate) fn accept(&mut self, accepted: AcceptedVersion) {
        if self.versions.len() == MAX_ACCEPTED_VERSIONS {
            self.versions.pop_front();
        }
        self.versions.push_back(accepted);
    }
}
