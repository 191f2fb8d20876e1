//! Which service answers at which address and port, for flows whose packets
//! carry no route.
//!
//! The newest version of the manifest wins: an older or equal one is
//! acknowledged and changes nothing.

mod listener_fault;
mod listener_manifest;
mod listener_store;
mod listener_table;
mod route_urgency;
mod service_tag;

pub use listener_fault::ListenerFault;
pub use listener_manifest::{ListenerManifest, ListenerRoute, ServiceShare};
pub use route_urgency::RouteUrgency;
pub use service_tag::ServiceTag;

pub(crate) use listener_store::{ListenerStore, StoredManifest};
pub(crate) use listener_table::{ListenerTable, RouteChoice};

#[cfg(test)]
mod tests;
