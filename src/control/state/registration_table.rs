use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::RetiredRuns;
use crate::{
    control::api::{AnnounceRequest, CallRefusal},
    key::{IncarnationId, ServiceNumber, TargetKey},
    route::TargetRoute,
};

/// The registered targets, and the runs that may not come back.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct RegistrationTable {
    targets: BTreeMap<TargetKey, TargetRoute>,
    members: BTreeMap<ServiceNumber, BTreeSet<TargetKey>>,
    retired: RetiredRuns,
}

/// What an announcement did.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum AnnounceEffect {
    /// The registration stood as announced.
    Same,
    /// The registration is new or changed; `left` is the former service.
    Changed {
        /// What is registered now.
        route: TargetRoute,
        /// The service that the address belonged to before.
        left: Option<ServiceNumber>,
    },
}

impl RegistrationTable {
    /// Returns the registration at an address.
    pub(crate) fn target(&self, key: TargetKey) -> Option<&TargetRoute> {
        self.targets.get(&key)
    }

    /// Returns every registration in the order of addresses.
    pub(crate) fn targets(&self) -> impl ExactSizeIterator<Item = &TargetRoute> {
        self.targets.values()
    }

    /// Returns the registrations of one service in the order of addresses.
    pub(crate) fn members(&self, service: ServiceNumber) -> impl Iterator<Item = &TargetRoute> {
        let keys = self.members.get(&service).into_iter().flatten();
        keys.filter_map(|key| self.targets.get(key))
    }

    /// Registers a target, or changes its registration.
    ///
    /// A run that was not seen yet replaces the one at the same address. A run
    /// that was replaced or withdrawn is refused: its announcement came late.
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
        let former = match self.targets.get(&key) {
            Some(former) if *former == route => return Ok(AnnounceEffect::Same),
            Some(former) => Some((former.service, former.incarnation)),
            None => None,
        };
        if let Some((registered, incarnation)) = former {
            if incarnation == route.incarnation && registered != service {
                return Err(CallRefusal::ServiceMismatch { registered });
            }
            if incarnation != route.incarnation {
                self.retired.retire(key, incarnation);
            }
            self.forget_member(registered, key);
        }
        self.members.entry(service).or_default().insert(key);
        self.targets.insert(key, route.clone());
        let left = former.map(|(registered, _)| registered);
        Ok(AnnounceEffect::Changed { route, left })
    }

    /// Takes a run out for good; returns its service if it was registered.
    pub(super) fn withdraw(
        &mut self,
        key: TargetKey,
        incarnation: IncarnationId,
    ) -> Option<ServiceNumber> {
        self.retired.retire(key, incarnation);
        self.remove(key, incarnation)
    }

    /// Takes a run out; it may announce itself again.
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
        self.forget_member(service, key);
        Some(service)
    }

    /// Takes out every target of a service that is gone.
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

    fn forget_member(&mut self, service: ServiceNumber, key: TargetKey) {
        let Some(keys) = self.members.get_mut(&service) else {
            return;
        };
        keys.remove(&key);
        if keys.is_empty() {
            self.members.remove(&service);
        }
    }
}
