use std::collections::BTreeSet;

use super::{
    ListenerFinding, ListenerManifest, ListenerNames, ListenerRoute, ServiceShare,
    ServiceStatement, ServiceTag,
};
use crate::clock::SpanMillis;

/// Looks for parts of a valid listener manifest that have no effect or contradict
/// each other.
#[derive(Debug, Clone, Copy)]
pub struct ListenerCheck<'a> {
    manifest: &'a ListenerManifest,
    names: &'a ListenerNames,
    in_force: Option<u64>,
}

impl<'a> ListenerCheck<'a> {
    /// Creates a check of a manifest; `names` are those of the same config.
    #[must_use]
    pub fn new(manifest: &'a ListenerManifest, names: &'a ListenerNames) -> Self {
        Self {
            manifest,
            names,
            in_force: None,
        }
    }

    /// Returns the check with the version in force to compare with.
    #[must_use]
    pub fn with_version_in_force(self, version: u64) -> Self {
        Self {
            in_force: Some(version),
            ..self
        }
    }

    /// Returns the findings: the version's, then those of routes and of services, each
    /// in the order of the manifest.
    #[must_use]
    pub fn findings(&self) -> Vec<ListenerFinding> {
        let version = self.manifest.version;
        let stale = self.in_force.filter(|in_force| version <= *in_force);
        let mut findings: Vec<_> = stale
            .map(|in_force| ListenerFinding::VersionNotAbove { version, in_force })
            .into_iter()
            .collect();
        for (route, name) in self.manifest.routes.iter().zip(&self.names.routes) {
            self.check_shares(route, name, &mut findings);
            check_times(route, name, self.manifest.idle, &mut findings);
        }
        let routes = self.manifest.routes.iter();
        let used: BTreeSet<ServiceTag> = routes
            .flat_map(|route| &route.shares)
            .map(|share| share.service)
            .collect();
        for service in &self.names.services {
            if !used.contains(&ServiceTag::of(&service.name)) {
                findings.push(ListenerFinding::UnusedService {
                    service: service.name.clone(),
                });
            }
            findings.extend(cold_finding(service));
        }
        findings
    }

    /// Reports the shares without weight; one finding if a single share has all of it.
    fn check_shares(&self, route: &ListenerRoute, name: &str, findings: &mut Vec<ListenerFinding>) {
        let shares = route.shares.iter();
        let (weighted, zero): (Vec<&ServiceShare>, Vec<&ServiceShare>) =
            shares.partition(|share| share.weight > 0);
        if let ([sole], false) = (weighted.as_slice(), zero.is_empty()) {
            findings.push(ListenerFinding::SoleWeight {
                route: name.to_owned(),
                service: self.names.service(sole.service),
                services: route.shares.len(),
            });
            return;
        }
        findings.extend(zero.into_iter().map(|share| ListenerFinding::ZeroShare {
            route: name.to_owned(),
            service: self.names.service(share.service),
        }));
    }
}

fn check_times(
    route: &ListenerRoute,
    name: &str,
    idle: SpanMillis,
    findings: &mut Vec<ListenerFinding>,
) {
    let (timeout, goal) = (route.urgency.timeout, route.urgency.goal);
    if timeout < goal {
        findings.push(ListenerFinding::TimeoutBelowGoal {
            route: name.to_owned(),
            timeout,
            goal,
        });
    }
    if idle < timeout {
        findings.push(ListenerFinding::IdleBelowTimeout {
            route: name.to_owned(),
            idle,
            timeout,
        });
    }
}

fn cold_finding(stated: &ServiceStatement) -> Option<ListenerFinding> {
    let service = stated.name.clone();
    match (stated.cold_seconds > 0.0, stated.cold_per_second > 0.0) {
        (true, false) => Some(ListenerFinding::ColdTimeWithoutRate {
            service,
            seconds: stated.cold_seconds,
        }),
        (false, true) => Some(ListenerFinding::ColdRateWithoutTime {
            service,
            per_second: stated.cold_per_second,
        }),
        (true, true) | (false, false) => None,
    }
}
