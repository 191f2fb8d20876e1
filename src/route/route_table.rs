use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddrV4,
    sync::Arc,
};

use super::{
    RouteChange, RouteDelta, RouteError, RouteSnapshot, ServicePool, ServiceRoute, TargetEntry,
    TargetRoute,
};
use crate::key::{DomainName, FeedRevision, ServiceNumber, TargetKey};

type DomainMembers = BTreeMap<Arc<DomainName>, BTreeMap<TargetKey, TargetEntry>>;

/// All routes at one revision; the packet path reads it, the feed replaces it.
///
/// A copy shares all that an update does not touch.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    revision: FeedRevision,
    manifest_version: u64,
    by_address: HashMap<SocketAddrV4, ServiceNumber>,
    pools: HashMap<ServiceNumber, Arc<ServicePool>>,
    members: HashMap<ServiceNumber, Arc<DomainMembers>>,
    homes: HashMap<TargetKey, (ServiceNumber, Arc<DomainName>)>,
    domains: HashSet<Arc<DomainName>>,
}

impl RouteTable {
    /// Creates the table before the first update.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> FeedRevision {
        self.revision
    }

    /// Returns the version of the manifest in force.
    #[must_use]
    pub fn manifest_version(&self) -> u64 {
        self.manifest_version
    }

    /// Returns the service that owns `address`.
    #[must_use]
    pub fn service_at(&self, address: SocketAddrV4) -> Option<ServiceNumber> {
        self.by_address.get(&address).copied()
    }

    /// Returns the pool of a service.
    #[must_use]
    pub fn pool(&self, service: ServiceNumber) -> Option<&ServicePool> {
        self.pools.get(&service).map(Arc::as_ref)
    }

    /// Returns every service.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRoute> {
        self.pools.values().map(|pool| pool.route())
    }

    /// Returns every target of a service with its failure domain.
    pub fn targets(
        &self,
        service: ServiceNumber,
    ) -> impl Iterator<Item = (&DomainName, &TargetEntry)> {
        self.members
            .get(&service)
            .into_iter()
            .flat_map(|members| members.iter())
            .flat_map(|(domain, entries)| {
                entries.values().map(move |entry| (domain.as_ref(), entry))
            })
    }

    /// Returns a target of a service, if it is registered there.
    #[must_use]
    pub fn target(&self, service: ServiceNumber, key: TargetKey) -> Option<TargetEntry> {
        let (home, domain) = self.homes.get(&key)?;
        if *home != service {
            return None;
        }
        let members = self.members.get(home)?;
        members.get(domain)?.get(&key).copied()
    }

    /// Returns the number of targets of all services.
    #[must_use]
    pub fn target_count(&self) -> usize {
        self.homes.len()
    }

    /// Takes over a whole state.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot is older than the table.
    pub fn replace(&mut self, snapshot: RouteSnapshot) -> Result<(), RouteError> {
        if snapshot.revision < self.revision {
            return Err(RouteError::Outdated {
                in_force: self.revision,
                offered: snapshot.revision,
            });
        }
        let mut table = Self::new();
        let mut touched = BTreeSet::new();
        let mut routes = BTreeMap::new();
        for service in snapshot.services {
            touched.insert(service.number);
            routes.insert(service.number, Arc::new(service));
        }
        for target in &snapshot.targets {
            table.set_target(target, &mut touched);
        }
        table.rebuild(&touched, &mut routes);
        table.revision = snapshot.revision;
        table.manifest_version = snapshot.manifest_version;
        *self = table;
        Ok(())
    }

    /// Takes over the changes since the revision in force.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, when the delta leads back or leaves a gap.
    pub fn update(&mut self, delta: &RouteDelta) -> Result<(), RouteError> {
        if delta.revision < self.revision {
            return Err(RouteError::Outdated {
                in_force: self.revision,
                offered: delta.revision,
            });
        }
        if delta.after > self.revision {
            return Err(RouteError::Gap {
                in_force: self.revision,
                after: delta.after,
            });
        }
        let mut touched = BTreeSet::new();
        let mut routes = BTreeMap::new();
        for change in &delta.changes {
            self.take_change(change, &mut touched, &mut routes);
        }
        self.rebuild(&touched, &mut routes);
        self.revision = delta.revision;
        self.manifest_version = delta.manifest_version;
        Ok(())
    }

    /// Notes that the feed confirmed `revision` without a change in scope.
    pub fn confirm(&mut self, revision: FeedRevision) {
        self.revision = self.revision.max(revision);
    }

    fn take_change(
        &mut self,
        change: &RouteChange,
        touched: &mut BTreeSet<ServiceNumber>,
        routes: &mut BTreeMap<ServiceNumber, Arc<ServiceRoute>>,
    ) {
        match change {
            RouteChange::ServiceSet(route) => {
                touched.insert(route.number);
                routes.insert(route.number, Arc::new(route.clone()));
            }
            RouteChange::ServiceRemoved(number) => {
                routes.remove(number);
                touched.remove(number);
                self.remove_service(*number);
            }
            RouteChange::TargetSet(route) => self.set_target(route, touched),
            RouteChange::TargetRemoved(key) => self.remove_target(*key, touched),
        }
    }

    fn remove_service(&mut self, number: ServiceNumber) {
        if let Some(pool) = self.pools.remove(&number) {
            self.release_address(pool.route().spec.address, number);
        }
    }

    /// Frees an address unless another service has taken it over since.
    fn release_address(&mut self, address: SocketAddrV4, number: ServiceNumber) {
        if self.by_address.get(&address) == Some(&number) {
            self.by_address.remove(&address);
        }
    }

    fn set_target(&mut self, route: &TargetRoute, touched: &mut BTreeSet<ServiceNumber>) {
        self.remove_target(route.key, touched);
        let domain = self.intern_domain(&route.domain);
        let members = self.members.entry(route.service).or_default();
        Arc::make_mut(members)
            .entry(Arc::clone(&domain))
            .or_default()
            .insert(route.key, TargetEntry::new(route));
        self.homes.insert(route.key, (route.service, domain));
        touched.insert(route.service);
    }

    fn remove_target(&mut self, key: TargetKey, touched: &mut BTreeSet<ServiceNumber>) {
        let Some((service, domain)) = self.homes.remove(&key) else {
            return;
        };
        touched.insert(service);
        let Some(members) = self.members.get_mut(&service) else {
            return;
        };
        let members = Arc::make_mut(members);
        if let Some(entries) = members.get_mut(&domain) {
            entries.remove(&key);
            if entries.is_empty() {
                members.remove(&domain);
            }
        }
    }

    fn intern_domain(&mut self, name: &DomainName) -> Arc<DomainName> {
        if let Some(domain) = self.domains.get(name) {
            return Arc::clone(domain);
        }
        let domain = Arc::new(name.clone());
        self.domains.insert(Arc::clone(&domain));
        domain
    }

    /// Builds the pools of the touched services anew.
    fn rebuild(
        &mut self,
        touched: &BTreeSet<ServiceNumber>,
        routes: &mut BTreeMap<ServiceNumber, Arc<ServiceRoute>>,
    ) {
        let empty = DomainMembers::new();
        for number in touched {
            let fresh = routes.remove(number);
            let known = self.pools.get(number).map(|pool| pool.shared_route());
            if let Some(old) = &known {
                self.release_address(old.spec.address, *number);
            }
            let Some(route) = fresh.or(known) else {
                continue;
            };
            self.by_address.insert(route.spec.address, *number);
            let members = self.members.get(number).map_or(&empty, Arc::as_ref);
            let pool = ServicePool::new(route, members);
            self.pools.insert(*number, Arc::new(pool));
        }
    }
}
