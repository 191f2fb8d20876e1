//! A small queueing model of the users' systems and the experiments on it.
//!
//! The model knows arrivals, connections, slots and messages that are late or
//! lost. It answers which accepting and relay rules the product should use.

mod cost;
mod lab_cli;
mod lab_error;
mod model;
mod policy;

pub use lab_cli::run_lab;

pub(crate) use lab_error::LabError;

#[cfg(test)]
mod tests;
