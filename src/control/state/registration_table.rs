use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::RetiredIncarnations;
use crate::{
    control::api::{AnnounceRequest, CallRefusal},
    key::{IncarnationId, ServiceNumber, TargetKey},
    route::TargetRoute,
};

/// The registered targets, and the incarnations that may not register again.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct RegistrationTable {
    targets: BTreeMap<TargetKey, TargetRoute>,
    members: BTreeMap<ServiceNumber, BTreeSet<TargetKey>>,
    retired: RetiredIncarnations,
}

/// The effect of an announcement.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum AnnounceEffect {
    /// The target was already registered as announced.
    Unchanged,
    /// The registration is new or changed.
    Changed {
        /// The registration now.
        route: TargetRoute,
        /// The service that was registered at the address before, if any.
        previous_service: Option<ServiceNumber>,
    },
}

impl RegistrationTable {
    /// Returns the registration at an address.
    pub(crate) fn target(&self, key: TargetKey) -> Option<&TargetRoute> {
        self.targets.get(&key)
    }

    /// Returns all registrations, ordered by address.
    pub(crate) fn targets(&self) -> impl ExactSizeIterator<Item = &TargetRoute> {
        self.targets.values()
    }

    /// Returns the registrations of one service, ordered by address.
    pub(crate) fn members(&self, service: ServiceNumber) -> impl Iterator<Item = &TargetRoute> {
        let keys = self.members.get(&service).into_iter().flatten();
        keys.filter_map(|key| self.targets.get(key))
    }

    /// Registers a target, or changes its registration.
    ///
    /// A new incarnation replaces the one registered at the same address. A retired one
    /// (replaced or withdrawn earlier) is refused, since its announcement is stale.
    pub(super) fn announce(
        &mut self,
        request: AnnounceRequest,
        service: ServiceNumber,
    ) -> Result<AnnounceEffect, CallRefusal> {
        let key = request.target;
        if self.retired.contains(key, request.incarnation) {
            return Err(CallRefusal::StaleIncarnation);
        }
        let route = TargetRoute {
            key,
            service,
            incarnation: request.incarnation,
            domain: request.domain,
            peer_address: request.peer_address,
            weight: request.weight,
            phase: request.phase,
        };
        let previous = match self.targets.get(&key) {
            Some(previous) if *previous == route => return Ok(AnnounceEffect::Unchanged),
            Some(previous) => Some((previous.service, previous.incarnation)),
            None => None,
        };
        if let Some((registered, incarnation)) = previous {
            if incarnation == route.incarnation && registered != service {
                return Err(CallRefusal::ServiceMismatch { registered });
            }
            if incarnation != route.incarnation {
                self.retired.retire(key, incarnation);
            }
            self.remove_member(registered, key);
        }
        self.members.entry(service).or_default().insert(key);
        self.targets.insert(key, route.clone());
        let previous_service = previous.map(|(registered, _)| registered);
        Ok(AnnounceEffect::Changed {
            route,
            previous_service,
        })
    }

    /// Removes and retires an incarnation; returns its service if it was registered.
    pub(super) fn withdraw(
        &mut self,
        key: TargetKey,
        incarnation: IncarnationId,
    ) -> Option<ServiceNumber> {
        self.retired.retire(key, incarnation);
        self.remove(key, incarnation)
    }

    /// Removes an incarnation, which may register again; returns its service if it was
    /// registered.
    pub(super) fn remove(
        &mut self,
        key: TargetKey,
        incarnation: IncarnationId,
    ) -> Option<ServiceNumber> {
        let target = self.targets.get(&key)?;
        if target.incarnation != incarnation {
            return None;
        }
        let service = target.service;
        self.targets.remove(&key);
        self.remove_member(service, key);
        Some(service)
    }

    /// Removes and returns all targets of a removed service.
    pub(super) fn remove_service(&mut self, service: ServiceNumber) -> Vec<TargetKey> {
        let keys: Vec<TargetKey> = self
            .members
            .remove(&service)
            .into_iter()
            .flatten()
            .collect();
        for key in &keys {
            self.targets.remove(key);
        }
        keys
    }

    fn remove_member(&mut self, service: ServiceNumber, key: TargetKey) {
        let Some(keys) = self.members.get_mut(&service) else {
            return;
        };
        keys.remove(&key);
        if keys.is_empty() {
            self.members.remove(&service);
        }
    }
}
