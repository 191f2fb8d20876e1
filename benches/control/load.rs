//! Synthetic services, targets and watchers.

use std::net::{Ipv4Addr, SocketAddrV4};

use cyclamenrouter::{
    clock::SpanMillis,
    control::api::{AnnounceRequest, ApplyRequest, WatchRequest, WatchScope, WatcherName},
    key::{FailureDomain, FeedRevision, IncarnationId, TargetKey},
    manifest::{Manifest, ServiceLimits, ServiceSpec},
    route::TargetPhase,
};

/// The number of services in the manifest.
pub const SERVICES: u32 = 12_000;
/// The number of failure domains that targets are spread over.
const DOMAINS: u32 = 15;

/// Returns a manifest of all services.
///
/// `deadline` in milliseconds applies to the first service only.
pub fn manifest(version: u64, deadline: u64) -> ApplyRequest {
    let services = (0..SERVICES).map(|index| ServiceSpec {
        name: service_name(index),
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0001 + index), 443),
        limits: ServiceLimits::default(),
        // Only one service changes with each version.
        deadline: SpanMillis::new(if index == 0 { deadline } else { 10_000 }),
        retry_percent: 10,
        rules: Vec::new(),
    });
    ApplyRequest {
        manifest: Manifest {
            version,
            replaces: version - 1,
            services: services.collect(),
        },
    }
}

/// Returns the name of service `index`.
pub fn service_name(index: u32) -> String {
    format!("service-{index:05}")
}

/// Returns the announcement of target `index` out of `targets`.
pub fn announcement(index: u32, targets: u32, weight: u16) -> AnnounceRequest {
    let service = u64::from(index) * u64::from(SERVICES) / u64::from(targets);
    let host = Ipv4Addr::from(0x0b00_0001 + index);
    let domain_index = index % DOMAINS;
    AnnounceRequest {
        service: service_name(u32::try_from(service).expect("below the count")),
        target: TargetKey::new(SocketAddrV4::new(host, 7_000)),
        incarnation: IncarnationId::new(
            0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(u64::from(index) + 1),
        ),
        domain: FailureDomain::new(
            &format!("region-{}", domain_index / 3),
            &format!("domain-{domain_index:02}"),
        ),
        peer_address: SocketAddrV4::new(host, 7_001),
        weight,
        phase: TargetPhase::Serving,
    }
}

/// Returns the request of watcher `index` for changes after `in_force`.
///
/// `wait` is the longest wait in milliseconds.
pub fn watch(index: u32, in_force: FeedRevision, wait: u64) -> WatchRequest {
    WatchRequest {
        watcher: WatcherName::Balancer(format!("balancer-{index:05}")),
        domain: FailureDomain::new("region-0", "domain-00"),
        scope: WatchScope::All,
        in_force,
        wait: SpanMillis::new(wait),
    }
}
