use std::{collections::BTreeSet, net::SocketAddrV4};

use serde::{Deserialize, Serialize};

use super::{ListenerFault, RouteUrgency, ServiceTag};
use crate::clock::SpanMillis;

/// A share of a route's new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceTag,
    /// The share, relative to the route's other shares.
    pub weight: u32,
}

/// Where the new flows of one address and port go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenerRoute {
    /// The address and port that callers open flows to.
    pub address: SocketAddrV4,
    /// The services, at least one with a weight above zero.
    pub shares: Vec<ServiceShare>,
    /// How pressing its requests are.
    pub urgency: RouteUrgency,
}

/// All routes of a deployment in one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenerManifest {
    /// The version; the highest one is in force.
    pub version: u64,
    /// The routes, each with an address of its own.
    pub routes: Vec<ListenerRoute>,
    /// The time without a packet after which a flow may be forgotten.
    pub idle: SpanMillis,
}

impl ListenerManifest {
    /// Checks what a single route can't show: that no two share an address.
    ///
    /// `names` are the routes' names in the same order, for the error.
    ///
    /// # Errors
    ///
    /// Fails with the first route that is at fault.
    pub fn check(&self, names: &[String]) -> Result<(), ListenerFault> {
        let mut seen = BTreeSet::new();
        for (route, name) in self.routes.iter().zip(names) {
            if !seen.insert(route.address) {
                return Err(ListenerFault::AddressTaken {
                    route: name.clone(),
                    address: route.address,
                });
            }
            if route.shares.iter().all(|share| share.weight == 0) {
                return Err(ListenerFault::NoWeight {
                    route: name.clone(),
                });
            }
        }
        Ok(())
    }
}
