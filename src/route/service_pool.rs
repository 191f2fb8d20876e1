use std::{collections::BTreeMap, sync::Arc};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{
    CHAIN_LENGTH, ServiceRoute, TargetChain, TargetEntry,
    target_group::{TargetGroup, rendezvous_score},
};
use crate::key::{DomainName, TargetKey};

/// A service with its targets, ready for choosing among them.
#[derive(Debug, Clone)]
pub struct ServicePool {
    route: Arc<ServiceRoute>,
    domains: Vec<DomainPool>,
    targets: usize,
}

/// The targets of a service in one failure domain.
#[derive(Debug, Clone)]
struct DomainPool {
    identity: u64,
    group: TargetGroup,
}

impl ServicePool {
    /// Builds the pool of a service from its targets by failure domain.
    #[must_use]
    pub fn new(
        route: Arc<ServiceRoute>,
        members: &BTreeMap<Arc<DomainName>, BTreeMap<TargetKey, TargetEntry>>,
    ) -> Self {
        let domains = members
            .iter()
            .map(|(domain, entries)| DomainPool {
                identity: domain_identity(domain),
                group: TargetGroup::new(entries.values().copied().collect()),
            })
            .collect();
        Self {
            route,
            domains,
            targets: members.values().map(BTreeMap::len).sum(),
        }
    }

    /// Returns the service.
    #[must_use]
    pub fn route(&self) -> &ServiceRoute {
        &self.route
    }

    /// Returns the service for another pool of it.
    pub(super) fn shared_route(&self) -> Arc<ServiceRoute> {
        Arc::clone(&self.route)
    }

    /// Returns the number of targets, leaving ones included.
    #[must_use]
    pub fn target_count(&self) -> usize {
        self.targets
    }

    /// Returns the candidates of a first packet with the ID `destination`.
    ///
    /// Every balancer with the same table returns the same candidates. Each
    /// comes from another failure domain while there are enough of them.
    #[must_use]
    pub fn choose(&self, destination: &[u8]) -> TargetChain {
        let hash = xxh3_64(destination);
        let order = self.domain_order(hash);
        let mut chain = TargetChain::new();
        for round in 0..CHAIN_LENGTH {
            for domain in &order {
                if chain.len() == CHAIN_LENGTH {
                    return chain;
                }
                let taken: Vec<TargetKey> = chain.iter().collect();
                let seed = xxh3_64_with_seed(&hash.to_le_bytes(), round as u64);
                if let Some(target) = domain.group.choose(seed, &taken) {
                    chain.push(target);
                }
            }
        }
        chain
    }

    fn domain_order(&self, hash: u64) -> Vec<&DomainPool> {
        let mut scores: Vec<(f64, &DomainPool)> = self
            .domains
            .iter()
            .filter(|domain| domain.group.share() > 0)
            .map(|domain| {
                let score = rendezvous_score(hash, domain.identity, domain.group.share());
                (score, domain)
            })
            .collect();
        scores.sort_by(|left, right| right.0.total_cmp(&left.0));
        scores.into_iter().map(|(_, domain)| domain).collect()
    }
}

fn domain_identity(domain: &DomainName) -> u64 {
    let region = xxh3_64(domain.region.as_bytes());
    xxh3_64_with_seed(domain.failure_domain.as_bytes(), region)
}
