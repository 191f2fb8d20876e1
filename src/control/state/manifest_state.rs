use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{AcceptedVersion, AcceptedVersions, FeedChange};
use crate::{
    control::api::{ApplyReply, CallRefusal},
    key::{FeedRevision, ServiceNumber},
    manifest::{Manifest, ManifestDigest, ServiceSpec},
    route::{RouteChange, ServiceRoute},
};

/// The manifest in force, and the numbers of all services that ever existed.
///
/// A service name keeps its number forever, since connection IDs may still carry it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct ManifestState {
    versions: AcceptedVersions,
    numbers: BTreeMap<String, ServiceNumber>,
    services: BTreeMap<ServiceNumber, ServiceSpec>,
}

/// The result of checking an offered manifest against the accepted versions.
pub(super) enum ManifestCheck {
    /// The same version with the same content was accepted before.
    Resent(ApplyReply),
    /// It may replace the version in force; carries the digest of the offer.
    New(ManifestDigest),
    /// It conflicts with the version in force.
    Refused(CallRefusal),
}

impl ManifestState {
    /// Returns the version in force.
    pub(crate) fn in_force(&self) -> Option<&AcceptedVersion> {
        self.versions.in_force()
    }

    /// Returns the number of the version in force, 0 before the first one.
    pub(crate) fn version(&self) -> u64 {
        self.in_force().map_or(0, |accepted| accepted.version)
    }

    /// Returns the number of the service `name`, even if the service was removed.
    pub(crate) fn number(&self, name: &str) -> Option<ServiceNumber> {
        self.numbers.get(name).copied()
    }

    /// Returns the specification of a service in force.
    pub(crate) fn service(&self, number: ServiceNumber) -> Option<&ServiceSpec> {
        self.services.get(&number)
    }

    /// Returns a service in force in the form that the feed sends.
    pub(crate) fn route(&self, number: ServiceNumber) -> Option<ServiceRoute> {
        let spec = self.services.get(&number)?.clone();
        Some(ServiceRoute { number, spec })
    }

    /// Returns the number of services in force.
    pub(crate) fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Returns the services in force, ordered by number.
    pub(crate) fn services(&self) -> impl ExactSizeIterator<Item = ServiceRoute> + '_ {
        self.services.iter().map(|(number, spec)| ServiceRoute {
            number: *number,
            spec: spec.clone(),
        })
    }

    /// Checks an offered manifest against the accepted versions.
    pub(super) fn check_offer(&self, manifest: &Manifest) -> ManifestCheck {
        let digest = manifest.digest();
        if let Some(accepted) = self.versions.find(manifest.version, digest) {
            return ManifestCheck::Resent(ApplyReply {
                version: accepted.version,
                digest: accepted.digest,
                revision: accepted.revision,
                resent: true,
            });
        }
        let in_force = self.version();
        if manifest.replaces == in_force && manifest.version > in_force {
            return ManifestCheck::New(digest);
        }
        ManifestCheck::Refused(CallRefusal::VersionConflict {
            offered: manifest.version,
            replaces: manifest.replaces,
            in_force,
            digest: self.in_force().map(|accepted| accepted.digest),
        })
    }

    /// Returns whether enough service numbers are free for the new names in `manifest`.
    pub(super) fn has_free_numbers_for(&self, manifest: &Manifest) -> bool {
        let names: BTreeSet<&str> = manifest
            .services
            .iter()
            .map(|spec| spec.name.as_str())
            .filter(|name| !self.numbers.contains_key(*name))
            .collect();
        u16::try_from(self.numbers.len() + names.len()).is_ok()
    }

    /// Puts a checked manifest in force and returns the changes of services.
    pub(super) fn accept(
        &mut self,
        manifest: Manifest,
        digest: ManifestDigest,
        revision: FeedRevision,
    ) -> Vec<FeedChange> {
        self.versions.accept(AcceptedVersion {
            version: manifest.version,
            digest,
            revision,
        });
        let mut services = BTreeMap::new();
        for spec in manifest.services {
            services.insert(self.assign_number(&spec.name), spec);
        }
        let previous = std::mem::replace(&mut self.services, services);
        let mut changes = Vec::new();
        for (number, spec) in &self.services {
            if previous.get(number) != Some(spec) {
                let route = ServiceRoute {
                    number: *number,
                    spec: spec.clone(),
                };
                changes.push(FeedChange::new(RouteChange::ServiceSet(route), *number));
            }
        }
        for number in previous.keys() {
            if !self.services.contains_key(number) {
                let change = RouteChange::ServiceRemoved(*number);
                changes.push(FeedChange::new(change, *number));
            }
        }
        changes
    }

    fn assign_number(&mut self, name: &str) -> ServiceNumber {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        // `has_free_numbers_for` was checked before, so the count fits.
        let count = u16::try_from(self.numbers.len()).unwrap_or(u16::MAX - 1);
        let number = ServiceNumber::new(count + 1);
        self.numbers.insert(name.to_owned(), number);
        number
    }
}
