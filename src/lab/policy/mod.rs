//! Experiments that compare accepting and relay rules and show the cost of failures.

mod case_runner;
mod policy_case;
mod policy_plan;
mod policy_plot;
mod policy_table;

pub(crate) use case_runner::run_cases;
pub(crate) use policy_case::{CaseGroup, PolicyCase, PolicyResult};
pub(crate) use policy_plan::{failure_cases, policy_cases};
pub(crate) use policy_plot::{PlotError, draw_plot};
pub(crate) use policy_table::write_tables;
