//! The manifest: every service with its address, limits and rules.

mod manifest_document;
mod service_spec;
mod traffic_rule;

pub use manifest_document::{Manifest, ManifestDigest};
pub use service_spec::{ServiceLimits, ServiceSpec};
pub use traffic_rule::{RequestPriority, TrafficRule};
