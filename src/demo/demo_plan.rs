use std::net::SocketAddrV4;

use crate::{
    clock::SpanMillis,
    manifest::{RequestPriority, ServiceLimits, ServiceSpec, TrafficRule},
};

/// The region of the demo site.
pub(super) const REGION: &str = "vestland";
/// The failure domains of the demo site.
pub(super) const DOMAINS: [&str; 3] = ["fjord-a", "fjord-b", "sund"];
/// The number of control replicas.
pub(super) const CONTROL_REPLICAS: u8 = 3;
/// The number of balancers at the start, one per failure domain.
pub(super) const BALANCERS: u8 = 3;
/// The services of the demo.
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
/// Callers per service.
pub(super) const CALLERS: usize = 4;
/// Streams per service.
pub(super) const STREAMS: usize = 4;

/// A service and its size.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedService {
    /// The name of the service.
    pub(super) name: &'static str,
    /// The number of targets.
    pub(super) targets: u8,
}

impl PlannedService {
    /// Returns the specification for the manifest.
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
