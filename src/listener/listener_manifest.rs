use std::{collections::BTreeSet, net::SocketAddrV4};

use serde::{Deserialize, Serialize};

use super::{ColdLimit, ListenerError, RouteUrgency, ServiceColdLimit, ServiceTag};
use crate::clock::SpanMillis;

/// The share of a route's new flows that a service gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceTag,
    /// The weight relative to the route's other services.
    pub weight: u32,
}

/// Routes one address and port to services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenerRoute {
    /// The address and port that callers open flows to.
    pub address: SocketAddrV4,
    /// The services, at least one with a weight above zero.
    pub shares: Vec<ServiceShare>,
    /// The urgency of the route's requests.
    pub urgency: RouteUrgency,
}

/// All routes of a deployment at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenerManifest {
    /// The version; the manifest with the highest one is in force.
    pub version: u64,
    /// The routes; their addresses are distinct.
    pub routes: Vec<ListenerRoute>,
    /// The time without a packet after which a flow may be dropped.
    pub idle: SpanMillis,
    /// The cold limits of the services that state one. Encoded manifests do not
    /// include them, so that older builds can read those.
    #[serde(skip)]
    pub cold_limits: Vec<ServiceColdLimit>,
}

impl ListenerManifest {
    /// Returns the cold limit of a service, if it states one.
    pub(crate) fn cold_limit(&self, service: ServiceTag) -> Option<ColdLimit> {
        let mut limits = self.cold_limits.iter();
        let stated = limits.find(|stated| stated.service == service);
        stated.map(|stated| stated.limit)
    }

    /// Checks that no two routes share an address and that each has a service with
    /// a weight above zero.
    ///
    /// `names` are the routes' names in the same order, for the error.
    ///
    /// # Errors
    ///
    /// Fails with the first invalid route.
    pub fn check(&self, names: &[String]) -> Result<(), ListenerError> {
        let mut seen = BTreeSet::new();
        for (route, name) in self.routes.iter().zip(names) {
            if !seen.insert(route.address) {
                return Err(ListenerError::AddressTaken {
                    route: name.clone(),
                    address: route.address,
                });
            }
            if route.shares.iter().all(|share| share.weight == 0) {
                return Err(ListenerError::NoWeight {
                    route: name.clone(),
                });
            }
        }
        Ok(())
    }
}
