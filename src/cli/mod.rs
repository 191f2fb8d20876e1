//! The operator's commands.

mod cli_event;
mod cli_run;

pub use cli_run::run_cli;

pub(crate) use cli_event::CliEvent;
