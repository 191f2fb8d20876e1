//! Where packets go: the feed's routes, the table, hashing, connection IDs.

mod feed_update;
mod service_route;
mod target_route;

pub use feed_update::{RouteChange, RouteDelta, RouteSnapshot};
pub use service_route::ServiceRoute;
pub use target_route::{TargetPhase, TargetRoute};
