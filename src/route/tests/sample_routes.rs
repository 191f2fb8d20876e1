//! Sample services and targets.

use std::net::{Ipv4Addr, SocketAddrV4};

use crate::{
    clock::SpanMillis,
    key::{FailureDomain, FeedRevision, IncarnationId, ServiceNumber, TargetKey},
    manifest::{ServiceLimits, ServiceSpec},
    route::{RouteSnapshot, ServiceRoute, TargetPhase, TargetRoute},
};

pub(super) fn sample_service(number: u16) -> ServiceRoute {
    ServiceRoute {
        number: ServiceNumber::new(number),
        spec: ServiceSpec {
            name: format!("service-{number}"),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), number),
            limits: ServiceLimits::default(),
            deadline: SpanMillis::new(1_000),
            retry_percent: 10,
            rules: Vec::new(),
        },
    }
}

pub(super) fn sample_target(service: u16, index: u32, domain: &str) -> TargetRoute {
    let ip = Ipv4Addr::from_bits(0x0a02_0000 + index);
    TargetRoute {
        key: TargetKey::new(SocketAddrV4::new(ip, 4_000)),
        service: ServiceNumber::new(service),
        incarnation: IncarnationId::new(u64::from(index) + 1),
        domain: FailureDomain::new("vestland", domain),
        peer_address: SocketAddrV4::new(ip, 4_001),
        weight: 1,
        phase: TargetPhase::Serving,
    }
}

pub(super) fn sample_snapshot(targets: Vec<TargetRoute>) -> RouteSnapshot {
    RouteSnapshot {
        revision: FeedRevision::new(10),
        services: vec![sample_service(1), sample_service(2)],
        targets,
        manifest_version: 1,
    }
}
