use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddrV4,
    sync::Arc,
};

use super::{
    RouteChange, RouteDelta, RouteError, RouteSnapshot, ServicePool, ServiceRoute, TargetEntry,
    TargetRoute,
};
use crate::key::{FailureDomain, FeedRevision, ServiceNumber, TargetKey};

type TargetsByDomain = BTreeMap<Arc<FailureDomain>, BTreeMap<TargetKey, TargetEntry>>;

/// All routes at one revision; the packet path reads it, the feed replaces it.
///
/// A clone shares the data of every service that an update does not change.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    revision: FeedRevision,
    manifest_version: u64,
    services_by_address: HashMap<SocketAddrV4, ServiceNumber>,
    pools: HashMap<ServiceNumber, Arc<ServicePool>>,
    service_targets: HashMap<ServiceNumber, Arc<TargetsByDomain>>,
    target_locations: HashMap<TargetKey, (ServiceNumber, Arc<FailureDomain>)>,
    interned_domains: HashSet<Arc<FailureDomain>>,
}

impl RouteTable {
    /// Creates an empty table at the revision before the first update.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current revision.
    #[must_use]
    pub fn revision(&self) -> FeedRevision {
        self.revision
    }

    /// Returns the version of the manifest in force.
    #[must_use]
    pub fn manifest_version(&self) -> u64 {
        self.manifest_version
    }

    /// Returns the service with this address.
    #[must_use]
    pub fn service_at(&self, address: SocketAddrV4) -> Option<ServiceNumber> {
        self.services_by_address.get(&address).copied()
    }

    /// Returns the pool of a service.
    #[must_use]
    pub fn pool(&self, service: ServiceNumber) -> Option<&ServicePool> {
        self.pools.get(&service).map(Arc::as_ref)
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRoute> {
        self.pools.values().map(|pool| pool.route())
    }

    /// Iterates over the targets of a service, each with its failure domain.
    pub fn targets(
        &self,
        service: ServiceNumber,
    ) -> impl Iterator<Item = (&FailureDomain, &TargetEntry)> {
        self.service_targets
            .get(&service)
            .into_iter()
            .flat_map(|domains| domains.iter())
            .flat_map(|(domain, entries)| {
                entries.values().map(move |entry| (domain.as_ref(), entry))
            })
    }

    /// Returns a target if it is registered for `service`.
    #[must_use]
    pub fn target(&self, service: ServiceNumber, key: TargetKey) -> Option<TargetEntry> {
        let (owner, domain) = self.target_locations.get(&key)?;
        if *owner != service {
            return None;
        }
        let domains = self.service_targets.get(owner)?;
        domains.get(domain)?.get(&key).copied()
    }

    /// Returns the number of targets across all services.
    #[must_use]
    pub fn target_count(&self) -> usize {
        self.target_locations.len()
    }

    /// Replaces the whole table with a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot is older than the table.
    pub fn apply_snapshot(&mut self, snapshot: RouteSnapshot) -> Result<(), RouteError> {
        if snapshot.revision < self.revision {
            return Err(RouteError::Outdated {
                in_force: self.revision,
                offered: snapshot.revision,
            });
        }
        let mut table = Self::new();
        let mut changed_services = BTreeSet::new();
        let mut routes = BTreeMap::new();
        for service in snapshot.services {
            changed_services.insert(service.number);
            routes.insert(service.number, Arc::new(service));
        }
        for target in &snapshot.targets {
            table.set_target(target, &mut changed_services);
        }
        table.rebuild(&changed_services, &mut routes);
        table.revision = snapshot.revision;
        table.manifest_version = snapshot.manifest_version;
        *self = table;
        Ok(())
    }

    /// Applies a delta that starts at the current revision or an earlier one.
    ///
    /// # Errors
    ///
    /// Fails without a change when the delta is outdated or leaves a gap.
    pub fn apply_delta(&mut self, delta: &RouteDelta) -> Result<(), RouteError> {
        if delta.revision < self.revision {
            return Err(RouteError::Outdated {
                in_force: self.revision,
                offered: delta.revision,
            });
        }
        if delta.base_revision > self.revision {
            return Err(RouteError::Gap {
                in_force: self.revision,
                base_revision: delta.base_revision,
            });
        }
        let mut changed_services = BTreeSet::new();
        let mut routes = BTreeMap::new();
        for change in &delta.changes {
            self.apply_change(change, &mut changed_services, &mut routes);
        }
        self.rebuild(&changed_services, &mut routes);
        self.revision = delta.revision;
        self.manifest_version = delta.manifest_version;
        Ok(())
    }

    /// Advances to `revision` after the feed reported no change in scope; never goes back.
    pub fn advance_to(&mut self, revision: FeedRevision) {
        self.revision = self.revision.max(revision);
    }

    fn apply_change(
        &mut self,
        change: &RouteChange,
        changed_services: &mut BTreeSet<ServiceNumber>,
        routes: &mut BTreeMap<ServiceNumber, Arc<ServiceRoute>>,
    ) {
        match change {
            RouteChange::ServiceSet(route) => {
                changed_services.insert(route.number);
                routes.insert(route.number, Arc::new(route.clone()));
            }
            RouteChange::ServiceRemoved(number) => {
                routes.remove(number);
                changed_services.remove(number);
                self.remove_service(*number);
            }
            RouteChange::TargetSet(route) => self.set_target(route, changed_services),
            RouteChange::TargetRemoved(key) => self.remove_target(*key, changed_services),
        }
    }

    fn remove_service(&mut self, number: ServiceNumber) {
        if let Some(pool) = self.pools.remove(&number) {
            self.release_address(pool.route().spec.address, number);
        }
    }

    /// Removes an address unless another service uses it by now.
    fn release_address(&mut self, address: SocketAddrV4, number: ServiceNumber) {
        if self.services_by_address.get(&address) == Some(&number) {
            self.services_by_address.remove(&address);
        }
    }

    fn set_target(&mut self, route: &TargetRoute, changed_services: &mut BTreeSet<ServiceNumber>) {
        self.remove_target(route.key, changed_services);
        let domain = self.intern_domain(&route.domain);
        let domains = self.service_targets.entry(route.service).or_default();
        Arc::make_mut(domains)
            .entry(Arc::clone(&domain))
            .or_default()
            .insert(route.key, TargetEntry::new(route));
        self.target_locations
            .insert(route.key, (route.service, domain));
        changed_services.insert(route.service);
    }

    fn remove_target(&mut self, key: TargetKey, changed_services: &mut BTreeSet<ServiceNumber>) {
        let Some((service, domain)) = self.target_locations.remove(&key) else {
            return;
        };
        changed_services.insert(service);
        let Some(domains) = self.service_targets.get_mut(&service) else {
            return;
        };
        let domains = Arc::make_mut(domains);
        if let Some(entries) = domains.get_mut(&domain) {
            entries.remove(&key);
            if entries.is_empty() {
                domains.remove(&domain);
            }
        }
    }

    fn intern_domain(&mut self, name: &FailureDomain) -> Arc<FailureDomain> {
        if let Some(domain) = self.interned_domains.get(name) {
            return Arc::clone(domain);
        }
        let domain = Arc::new(name.clone());
        self.interned_domains.insert(Arc::clone(&domain));
        domain
    }

    /// Rebuilds the pools of the changed services.
    fn rebuild(
        &mut self,
        changed_services: &BTreeSet<ServiceNumber>,
        routes: &mut BTreeMap<ServiceNumber, Arc<ServiceRoute>>,
    ) {
        let empty = TargetsByDomain::new();
        for number in changed_services {
            let new_route = routes.remove(number);
            let current_route = self.pools.get(number).map(|pool| pool.shared_route());
            if let Some(old) = &current_route {
                self.release_address(old.spec.address, *number);
            }
            let Some(route) = new_route.or(current_route) else {
                continue;
            };
            self.services_by_address.insert(route.spec.address, *number);
            let domains = self.service_targets.get(number).map_or(&empty, Arc::as_ref);
            let pool = ServicePool::new(route, domains);
            self.pools.insert(*number, Arc::new(pool));
        }
    }
}
