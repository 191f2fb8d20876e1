//! The operator's commands.

mod cli_error;
mod cli_event;
mod cli_options;
mod cli_run;
mod command;
mod output_format;

pub use cli_run::run_cli;

pub(crate) use cli_error::{CliError, UsageFault};
pub(crate) use cli_event::CliEvent;
pub(crate) use output_format::OutputFormat;

#[cfg(test)]
mod tests;
