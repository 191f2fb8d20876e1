//! The operator's command line, `cyclamen`.

mod cli_error;
mod cli_event;
mod cli_options;
mod cli_run;
mod command;
mod group_watchers;
mod in_force_report;
mod operator_access;
mod operator_settings;
mod output_format;

pub use cli_run::run_cli;
pub use operator_settings::OperatorSettings;

pub(crate) use cli_error::{CliError, UsageError};
pub(crate) use cli_event::CliEvent;
pub(crate) use cli_run::block_on;
pub(crate) use group_watchers::GroupWatchers;
pub(crate) use in_force_report::InForceReport;
pub(crate) use operator_access::{AddressList, OperatorAccess, parse_address};
pub(crate) use output_format::OutputFormat;

#[cfg(test)]
mod tests;
