//! A demo that runs a whole site in one process, with stand-ins for fabric and upstreams.

mod demo_counters;
mod demo_error;
mod demo_load;
mod demo_plan;
mod demo_report;
mod demo_run;
mod demo_site;
mod demo_tasks;
mod fabric_stand_in;
mod upstream_stand_in;

pub use demo_error::DemoError;
pub use demo_report::DemoReport;
pub use demo_run::{MIN_DEMO_SECONDS, run_demo};
pub use fabric_stand_in::FabricStandIn;
pub use upstream_stand_in::UpstreamStandIn;

#[cfg(test)]
mod tests;
