//! The operators' manifest of all services with their addresses, limits and rules.

mod common_check;
mod fault_cause;
mod fault_list;
mod manifest_check;
mod manifest_document;
mod manifest_fault;
mod manifest_finding;
mod manifest_review;
mod manifest_text;
mod rule_check;
mod rule_match;
mod service_check;
mod service_spec;
mod traffic_rule;

pub use common_check::MAX_NAME_CHARS;
pub use fault_cause::FaultCause;
pub use manifest_check::{MAX_SERVICES, check_manifest};
pub use manifest_document::{Manifest, ManifestDigest};
pub use manifest_fault::ManifestFault;
pub use manifest_finding::ManifestFinding;
pub use manifest_review::ManifestReview;
pub use manifest_text::{MAX_MANIFEST_BYTES, ManifestError, ManifestText};
pub use rule_check::{MAX_METHOD_CHARS, MAX_METHODS, MAX_PREFIX_CHARS};
pub use rule_match::{RequestPolicy, is_idempotent};
pub use service_check::MAX_RULES;
pub use service_spec::{ServiceLimits, ServiceSpec};
pub use traffic_rule::{RequestPriority, TrafficRule};

#[cfg(test)]
mod tests;
