use std::{collections::HashMap, net::SocketAddrV4};

use super::{ListenerManifest, ListenerRoute, RouteUrgency, ServiceShare, ServiceTag};
use crate::clock::{ClockMillis, SpanMillis};

/// Where the packets of one address and port may go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RouteChoice {
    /// The service for new flows.
    pub(crate) opens: ServiceTag,
    /// Every service that may hold an open flow, the likeliest first.
    pub(crate) holds: Vec<ServiceTag>,
    /// How pressing the requests are.
    pub(crate) urgency: RouteUrgency,
}

/// A service that a route used earlier.
#[derive(Debug, Clone, Copy)]
struct FormerShare {
    service: ServiceTag,
    until: ClockMillis,
}

#[derive(Debug, Clone)]
struct TableEntry {
    shares: Vec<ServiceShare>,
    urgency: RouteUrgency,
    former: Vec<FormerShare>,
}

/// The routes in force at a balancer, with the services that open flows of a
/// changed route may still be on.
#[derive(Debug, Clone)]
pub(crate) struct ListenerTable {
    version: u64,
    entries: HashMap<SocketAddrV4, TableEntry>,
    flow_age: SpanMillis,
}

impl ListenerTable {
    /// Creates an empty table; flows older than `flow_age` may be forgotten.
    pub(crate) fn new(flow_age: SpanMillis) -> Self {
        Self {
            version: 0,
            entries: HashMap::new(),
            flow_age,
        }
    }

    /// Returns the version in force, zero before the first one.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Puts a manifest in force unless it is older than the one in force.
    ///
    /// Returns whether it changed anything.
    pub(crate) fn replace(&mut self, manifest: &ListenerManifest, now: ClockMillis) -> bool {
        if manifest.version <= self.version {
            return false;
        }
        self.version = manifest.version;
        let mut earlier = std::mem::take(&mut self.entries);
        for route in &manifest.routes {
            let former = earlier
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
        true
    }

    /// Returns where packets for `address` go; `spread` picks among shares.
    pub(crate) fn choose(
        &self,
        address: SocketAddrV4,
        spread: u64,
        now: ClockMillis,
    ) -> Option<RouteChoice> {
        let entry = self.entries.get(&address)?;
        let opens = pick_share(&entry.shares, spread)?;
        let mut holds = vec![opens];
        let others = entry.shares.iter().map(|share| share.service);
        let former = entry
            .former
            .iter()
            .filter(|share| share.until > now)
            .map(|share| share.service);
        for service in others.chain(former) {
            if !holds.contains(&service) {
                holds.push(service);
            }
        }
        Some(RouteChoice {
            opens,
            holds,
            urgency: entry.urgency,
        })
    }
}

fn former_shares(
    entry: &TableEntry,
    route: &ListenerRoute,
    now: ClockMillis,
    flow_age: SpanMillis,
) -> Vec<FormerShare> {
    let left = entry.shares.iter().map(|share| FormerShare {
        service: share.service,
        until: now.after(flow_age),
    });
    let kept = entry.former.iter().filter(|share| share.until > now);
    let mut former: Vec<FormerShare> = left.chain(kept.copied()).collect();
    former.retain(|share| {
        let stays = |current: &ServiceShare| current.service == share.service;
        !route.shares.iter().any(stays)
    });
    former
}

/// Picks a service by weight.
fn pick_share(shares: &[ServiceShare], spread: u64) -> Option<ServiceTag> {
    let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut place = spread.checked_rem(total)?;
    for share in shares {
        let weight = u64::from(share.weight);
        if place < weight {
            return Some(share.service);
        }
        place -= weight;
    }
    None
}
