//! The experiments on accepting and relay rules.

mod policy_case;
mod policy_plan;
mod policy_plot;
mod policy_table;
mod trial_runner;

pub(crate) use policy_case::{CaseGroup, PolicyCase, PolicyResult};
pub(crate) use policy_plan::{failure_cases, policy_cases};
pub(crate) use policy_plot::{PlotError, draw_plot};
pub(crate) use policy_table::write_tables;
pub(crate) use trial_runner::run_cases;
