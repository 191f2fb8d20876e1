//! Routes from addresses and ports to services, for flows whose packets carry no
//! route.
//!
//! The manifest with the highest version is in force. One with a lower or equal
//! version is acknowledged and changes nothing. Operators may evacuate failure domains,
//! whose targets then get no new flows whatever the manifest says.

mod cold_limit;
mod evacuation_order;
mod evacuation_set;
mod listener_check;
mod listener_error;
mod listener_finding;
mod listener_manifest;
mod listener_names;
mod listener_store;
mod listener_table;
mod route_urgency;
mod service_tag;
mod stored_manifest;

pub use cold_limit::{ColdLimit, ServiceColdLimit};
pub use listener_check::ListenerCheck;
pub use listener_error::ListenerError;
pub use listener_finding::ListenerFinding;
pub use listener_manifest::{ListenerManifest, ListenerRoute, ServiceShare};
pub use listener_names::{ListenerNames, ServiceStatement};
pub use route_urgency::RouteUrgency;
pub use service_tag::ServiceTag;

pub(crate) use evacuation_order::EvacuationOrder;
pub(crate) use evacuation_set::{EvacuationSet, OrderEffect};
pub(crate) use listener_store::ListenerStore;
pub(crate) use listener_table::{ListenerTable, RouteChoice};
pub(crate) use stored_manifest::StoredManifest;

#[cfg(test)]
mod tests;
