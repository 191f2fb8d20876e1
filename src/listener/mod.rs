//! Routes from addresses and ports to services, for flows whose packets carry no
//! route.
//!
//! The manifest with the highest version is in force. One with a lower or equal
//! version is acknowledged and changes nothing.

mod listener_error;
mod listener_manifest;
mod listener_store;
mod listener_table;
mod route_urgency;
mod service_tag;

pub use listener_error::ListenerError;
pub use listener_manifest::{ListenerManifest, ListenerRoute, ServiceShare};
pub use route_urgency::RouteUrgency;
pub use service_tag::ServiceTag;

pub(crate) use listener_store::{ListenerStore, StoredManifest};
pub(crate) use listener_table::{ListenerTable, RouteChoice};

#[cfg(test)]
mod tests;
