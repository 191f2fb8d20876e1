//! Stand-ins of what surrounds the system, for the demo and the tests.

mod fabric_stand_in;
mod upstream_stand_in;

pub use fabric_stand_in::FabricStandIn;
pub use upstream_stand_in::UpstreamStandIn;
