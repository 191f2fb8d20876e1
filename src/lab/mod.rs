//! A queueing simulation of the users' services, the experiments on it, and cost measurements.
//!
//! The simulation covers arrivals, connections, slots, and delayed or lost messages.
//! The experiments compare the accepting and relay rules that the product could use.

mod cost;
mod lab_cli;
mod lab_error;
mod model;
mod policy;

pub use lab_cli::run_lab;

pub(crate) use lab_error::LabError;

#[cfg(test)]
mod tests;
