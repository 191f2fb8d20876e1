use std::net::SocketAddrV4;

use crate::{
    clock::SpanMillis,
    manifest::{RequestPriority, ServiceLimits, ServiceSpec, TrafficRule},
};

/// The region of the demo's site.
pub(super) const REGION: &str = "vestland";
/// The failure domains of the demo's site.
pub(super) const DOMAINS: [&str; 3] = ["fjord-a", "fjord-b", "sund"];
/// The control replicas.
pub(super) const CONTROL_REPLICAS: u8 = 3;
/// The balancers at the start, one a failure domain.
pub(super) const BALANCERS: u8 = 3;
/// The two services.
pub(super) const SERVICES: [PlannedService; 2] = [
    PlannedService {
        name: "barge-control",
        targets: 7,
    },
    PlannedService {
        name: "logbook",
        targets: 3,
    },
];
/// The callers of each service.
pub(super) const CALLERS: usize = 4;
/// The streams of each service.
pub(super) const STREAMS: usize = 4;

/// A service of the demo and its size.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedService {
    /// The service's name.
    pub(super) name: &'static str,
    /// How many targets it has.
    pub(super) targets: u8,
}

impl PlannedService {
    /// Returns the service as the manifest describes it.
    pub(super) fn spec(&self, address: SocketAddrV4) -> ServiceSpec {
        ServiceSpec {
            name: self.name.to_owned(),
            address,
            limits: ServiceLimits::default(),
            deadline: SpanMillis::new(10_000),
            retry_percent: 10,
            rules: vec![TrafficRule {
                name: "streams".to_owned(),
                methods: vec!["GET".to_owned()],
                path_prefix: "/lines".to_owned(),
                priority: RequestPriority::Normal,
                deadline: None,
                idempotent: None,
                stream: true,
            }],
        }
    }
}
