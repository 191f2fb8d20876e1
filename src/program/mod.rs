//! What every long-running program shares: options, logs, exit codes.

mod exit_status;
mod log_setup;
mod program_options;

pub use exit_status::ExitStatus;
pub use log_setup::{LogFormat, start_logs};
pub use program_options::{ProgramError, ProgramOptions, run_program};
