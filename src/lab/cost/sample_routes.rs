use std::net::{Ipv4Addr, SocketAddrV4};

use crate::{
    clock::SpanMillis,
    key::{FailureDomain, FeedRevision, IncarnationId, ServiceNumber, TargetKey},
    manifest::{ServiceLimits, ServiceSpec},
    route::{RouteChange, RouteDelta, RouteSnapshot, ServiceRoute, TargetPhase, TargetRoute},
};

/// The number of regions in the sample.
const REGIONS: usize = 5;
/// The number of failure domains in the sample.
const FAILURE_DOMAINS: usize = 15;
/// The IP address of the first service.
const FIRST_ADDRESS: u32 = 0x0a09_0000;
/// The IP address of the first target.
const FIRST_TARGET: u32 = 0x0a40_0000;
/// The port of all services.
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

/// Returns the target with an index; each `run` has another incarnation.
pub(super) fn target_route(index: usize, service: usize, run: u64) -> TargetRoute {
    let key = SocketAddrV4::new(Ipv4Addr::from_bits(FIRST_TARGET + index as u32), 4_000);
    let domain = index % FAILURE_DOMAINS;
    TargetRoute {
        key: TargetKey::new(key),
        service: ServiceNumber::new(service as u16),
        incarnation: IncarnationId::new(mix_bits(index as u64 ^ run << 32)),
        domain: FailureDomain::new(
            &format!("region-{}", domain % REGIONS),
            &format!("domain-{domain}"),
        ),
        peer_address: SocketAddrV4::new(*key.ip(), 4_001),
        weight: 1,
        phase: TargetPhase::Serving,
    }
}

/// Returns a snapshot whose targets are spread evenly over the services.
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

/// Returns the delta from revision `after` to the next one.
pub(super) fn delta_of(base_revision: u64, changes: Vec<RouteChange>) -> RouteDelta {
    RouteDelta {
        base_revision: FeedRevision::new(base_revision),
        revision: FeedRevision::new(base_revision + 1),
        changes,
        manifest_version: 1,
    }
}

/// Mixes the bits, so that consecutive numbers look unrelated.
fn mix_bits(number: u64) -> u64 {
    number
        .wrapping_add(1)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(31)
}
