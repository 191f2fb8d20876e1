use std::{collections::HashMap, net::SocketAddrV4};

use super::{ListenerManifest, ListenerRoute, RouteUrgency, ServiceShare, ServiceTag};
use crate::clock::{ClockMillis, SpanMillis};

/// The services for packets to one address and port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RouteChoice {
    /// The service for new flows.
    pub(crate) new_flow_service: ServiceTag,
    /// Every service that may hold an open flow, the likeliest first.
    pub(crate) owner_services: Vec<ServiceTag>,
    /// The urgency of the route's requests.
    pub(crate) urgency: RouteUrgency,
}

/// A former service of a route, kept until the flows opened to it have expired.
#[derive(Debug, Clone, Copy)]
struct FormerShare {
    service: ServiceTag,
    expires_at: ClockMillis,
}

#[derive(Debug, Clone)]
struct TableEntry {
    shares: Vec<ServiceShare>,
    urgency: RouteUrgency,
    former: Vec<FormerShare>,
}

/// The routes in force at a balancer, with the former services that open flows of
/// changed routes may still be on.
#[derive(Debug, Clone)]
pub(crate) struct ListenerTable {
    version: Option<u64>,
    entries: HashMap<SocketAddrV4, TableEntry>,
    flow_age: SpanMillis,
    /// When the manifest in force was applied.
    replaced_at: Option<ClockMillis>,
    /// When routes were removed, until the flows on them have expired.
    removed_at: HashMap<SocketAddrV4, ClockMillis>,
}

impl ListenerTable {
    /// Creates an empty table; the former services of a route are kept for
    /// `flow_age`, after which flows on them may be dropped.
    pub(crate) fn new(flow_age: SpanMillis) -> Self {
        Self {
            version: None,
            entries: HashMap::new(),
            flow_age,
            replaced_at: None,
            removed_at: HashMap::new(),
        }
    }

    /// Returns the version in force; `None` before the first manifest, whose version may
    /// be zero.
    pub(crate) fn version(&self) -> Option<u64> {
        self.version
    }

    /// Puts a manifest into force if its version is higher than the one in force;
    /// returns whether it was.
    pub(crate) fn replace(&mut self, manifest: &ListenerManifest, now: ClockMillis) -> bool {
        if self
            .version
            .is_some_and(|version| manifest.version <= version)
        {
            return false;
        }
        self.version = Some(manifest.version);
        self.replaced_at = Some(now);
        let mut previous = std::mem::take(&mut self.entries);
        for route in &manifest.routes {
            let former = previous
                .remove(&route.address)
                .map_or_else(Vec::new, |entry| {
                    former_shares(&entry, route, now, self.flow_age)
                });
            let entry = TableEntry {
                shares: route.shares.clone(),
                urgency: route.urgency,
                former,
            };
            self.entries.insert(route.address, entry);
        }
        let flow_age = self.flow_age;
        self.removed_at
            .retain(|_, removed_at| now.since(*removed_at) < flow_age);
        let removed = previous.into_keys().map(|address| (address, now));
        self.removed_at.extend(removed);
        true
    }

    /// Returns whether open flows may be on services that this table does not list for
    /// their route: manifests between the one in force and the one before it, or before the
    /// first one, were not seen.
    pub(crate) fn may_lack_former_services(&self, now: ClockMillis) -> bool {
        self.replaced_at
            .is_none_or(|replaced_at| now.since(replaced_at) < self.flow_age)
    }

    /// Returns whether a route to `address` was removed while this table was in use. One
    /// that it never had may be newer than the manifest in force.
    pub(crate) fn has_removed(&self, address: SocketAddrV4) -> bool {
        self.removed_at.contains_key(&address)
    }

    /// Returns the services for a flow to `address`, `None` without a route;
    /// `flow_hash` selects one by weight for a new flow.
    pub(crate) fn choose(
        &self,
        address: SocketAddrV4,
        flow_hash: u64,
        now: ClockMillis,
    ) -> Option<RouteChoice> {
        let entry = self.entries.get(&address)?;
        let new_flow_service = pick_share(&entry.shares, flow_hash)?;
        let mut owner_services = vec![new_flow_service];
        let others = entry.shares.iter().map(|share| share.service);
        let former = entry
            .former
            .iter()
            .filter(|share| share.expires_at > now)
            .map(|share| share.service);
        for service in others.chain(former) {
            if !owner_services.contains(&service) {
                owner_services.push(service);
            }
        }
        Some(RouteChoice {
            new_flow_service,
            owner_services,
            urgency: entry.urgency,
        })
    }
}

/// Returns the current and former services of `entry` that `route` no longer uses.
fn former_shares(
    entry: &TableEntry,
    route: &ListenerRoute,
    now: ClockMillis,
    flow_age: SpanMillis,
) -> Vec<FormerShare> {
    let removed = entry.shares.iter().map(|share| FormerShare {
        service: share.service,
        expires_at: now.after(flow_age),
    });
    let kept = entry.former.iter().filter(|share| share.expires_at > now);
    let mut former: Vec<FormerShare> = removed.chain(kept.copied()).collect();
    former.retain(|share| {
        let still_used = |current: &ServiceShare| current.service == share.service;
        !route.shares.iter().any(still_used)
    });
    former
}

/// Selects a service by weight; `None` if all weights are zero.
fn pick_share(shares: &[ServiceShare], flow_hash: u64) -> Option<ServiceTag> {
    let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut offset = flow_hash.checked_rem(total)?;
    for share in shares {
        let weight = u64::from(share.weight);
        if offset < weight {
            return Some(share.service);
        }
        offset -= weight;
    }
    None
}
