//! Identifiers of services, targets, agent runs, feed revisions and failure domains.

mod domain_tag;
mod failure_domain;
mod feed_revision;
mod incarnation_id;
mod service_number;
mod target_key;
mod vm_address;

pub use domain_tag::DomainTag;
pub use failure_domain::FailureDomain;
pub use feed_revision::FeedRevision;
pub use incarnation_id::IncarnationId;
pub use service_number::ServiceNumber;
pub use target_key::TargetKey;

pub(crate) use vm_address::is_vm_address;
