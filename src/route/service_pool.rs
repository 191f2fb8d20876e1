use std::{collections::BTreeMap, sync::Arc};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{
    MAX_CHAIN_LENGTH, ServiceRoute, TargetChain, TargetEntry,
    target_group::{TargetGroup, rendezvous_score},
};
use crate::key::{FailureDomain, TargetKey};

/// A service with its targets, indexed for choosing candidates.
#[derive(Debug, Clone)]
pub struct ServicePool {
    route: Arc<ServiceRoute>,
    domains: Vec<DomainPool>,
    target_count: usize,
}

/// The targets of a service in one failure domain.
#[derive(Debug, Clone)]
struct DomainPool {
    candidate_id: u64,
    group: TargetGroup,
}

impl ServicePool {
    /// Builds the pool from the service's targets, grouped by failure domain.
    #[must_use]
    pub fn new(
        route: Arc<ServiceRoute>,
        targets_by_domain: &BTreeMap<Arc<FailureDomain>, BTreeMap<TargetKey, TargetEntry>>,
    ) -> Self {
        let domains = targets_by_domain
            .iter()
            .map(|(domain, entries)| DomainPool {
                candidate_id: domain_id(domain),
                group: TargetGroup::new(entries.values().copied().collect()),
            })
            .collect();
        Self {
            route,
            domains,
            target_count: targets_by_domain.values().map(BTreeMap::len).sum(),
        }
    }

    /// Returns the service.
    #[must_use]
    pub fn route(&self) -> &ServiceRoute {
        &self.route
    }

    /// Returns a shared handle to the service, for rebuilding its pool.
    pub(super) fn shared_route(&self) -> Arc<ServiceRoute> {
        Arc::clone(&self.route)
    }

    /// Returns the number of targets, including leaving ones.
    #[must_use]
    pub fn target_count(&self) -> usize {
        self.target_count
    }

    /// Returns the candidates for a first packet with the connection ID `destination`.
    ///
    /// Every balancer with the same table returns the same candidates. Each
    /// comes from a different failure domain if there are enough of them.
    #[must_use]
    pub fn choose(&self, destination: &[u8]) -> TargetChain {
        let hash = xxh3_64(destination);
        let order = self.domain_order(hash);
        let mut chain = TargetChain::new();
        for round in 0..MAX_CHAIN_LENGTH {
            for domain in &order {
                if chain.len() == MAX_CHAIN_LENGTH {
                    return chain;
                }
                let excluded: Vec<TargetKey> = chain.iter().collect();
                let seed = xxh3_64_with_seed(&hash.to_le_bytes(), round as u64);
                if let Some(target) = domain.group.choose(seed, &excluded) {
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
            .filter(|domain| domain.group.total_weight() > 0)
            .map(|domain| {
                let score =
                    rendezvous_score(hash, domain.candidate_id, domain.group.total_weight());
                (score, domain)
            })
            .collect();
        scores.sort_by(|left, right| right.0.total_cmp(&left.0));
        scores.into_iter().map(|(_, domain)| domain).collect()
    }
}

fn domain_id(domain: &FailureDomain) -> u64 {
    let region = xxh3_64(domain.region.as_bytes());
    xxh3_64_with_seed(domain.failure_domain.as_bytes(), region)
}
