use std::net::{Ipv4Addr, SocketAddrV4};

use crate::{
    clock::SpanMillis,
    key::{DomainName, FeedRevision, IncarnationId, ServiceNumber, TargetKey},
    manifest::{ServiceLimits, ServiceSpec},
    route::{RouteChange, RouteDelta, RouteSnapshot, ServiceRoute, TargetPhase, TargetRoute},
};

/// Regions of the sample.
const REGIONS: usize = 5;
/// Failure domains of the sample.
const FAILURE_DOMAINS: usize = 15;
/// The first of the service addresses.
const FIRST_ADDRESS: u32 = 0x0a09_0000;
/// The first of the target addresses.
const FIRST_TARGET: u32 = 0x0a40_0000;
/// The port of every address.
const PORT: u16 = 443;

/// Returns the address of the service with a number.
pub(super) fn service_address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(FIRST_ADDRESS + number as u32), PORT)
}

/// Returns the service with a number.
pub(super) fn service_route(number: usize) -> ServiceRoute {
    ServiceRoute {
        number: ServiceNumber::new(number as u16),
        spec: ServiceSpec {
            name: format!("service-{number}"),
            address: service_address(number),
            limits: ServiceLimits::default(),
            deadline: SpanMillis::new(10_000),
            retry_percent: 10,
            rules: Vec::new(),
        },
    }
}

/// Returns the target with an index, of a service; its run is given too.
pub(super) fn target_route(index: usize, service: usize, run: u64) -> TargetRoute {
    let key = SocketAddrV4::new(Ipv4Addr::from_bits(FIRST_TARGET + index as u32), 4_000);
    let domain = index % FAILURE_DOMAINS;
    TargetRoute {
        key: TargetKey::new(key),
        service: ServiceNumber::new(service as u16),
        incarnation: IncarnationId::new(spread(index as u64 ^ run << 32)),
        domain: DomainName::new(
            &format!("region-{}", domain % REGIONS),
            &format!("domain-{domain}"),
        ),
        peer_address: SocketAddrV4::new(*key.ip(), 4_001),
        weight: 1,
        phase: TargetPhase::Serving,
    }
}

/// Returns a state of so many services and targets, the targets spread evenly.
pub(super) fn snapshot_of(services: usize, targets: usize) -> RouteSnapshot {
    RouteSnapshot {
        revision: FeedRevision::new(1),
        services: (0..services).map(service_route).collect(),
        targets: (0..targets)
            .map(|index| target_route(index, index % services, 0))
            .collect(),
        manifest_version: 1,
    }
}

/// Returns the change of the state from one revision to the next.
pub(super) fn delta_of(after: u64, changes: Vec<RouteChange>) -> RouteDelta {
    RouteDelta {
        after: FeedRevision::new(after),
        revision: FeedRevision::new(after + 1),
        changes,
        manifest_version: 1,
    }
}

/// Makes neighbouring numbers differ in all bits.
fn spread(number: u64) -> u64 {
    number
        .wrapping_add(1)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(31)
}
