//! Packet routing: route updates from the feed, the route table, rendezvous
//! hashing of targets and connection IDs that carry the route.

mod connection_route;
mod feed_update;
mod packet_header;
mod route_error;
mod route_table;
mod service_pool;
mod service_route;
mod target_chain;
mod target_entry;
mod target_group;
mod target_route;

pub use connection_route::{CONNECTION_ID_BYTES, ConnectionRoute};
pub use feed_update::{RouteChange, RouteDelta, RouteSnapshot};
pub use packet_header::{HeaderForm, PacketHeader};
pub use route_error::RouteError;
pub use route_table::RouteTable;
pub use service_pool::ServicePool;
pub use service_route::ServiceRoute;
pub use target_chain::{MAX_CHAIN_LENGTH, TargetChain};
pub use target_entry::TargetEntry;
pub use target_route::{TargetPhase, TargetRoute};

#[cfg(test)]
mod tests;
