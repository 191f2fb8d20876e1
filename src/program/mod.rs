//! Start and stop of every program: command line, logging, stop signals and exit
//! status.

mod exit_status;
mod log_setup;
mod program_event;
mod program_options;
mod stop_signal;

pub use exit_status::ExitStatus;
pub use log_setup::{LogFormat, LogGuard, start_logs, start_output_logs};
pub use program_options::{ProgramError, ProgramOptions, run_program};
pub use stop_signal::{StopSignal, StopTrigger};

pub(crate) use log_setup::start_quiet_logs;
pub(crate) use program_event::ProgramEvent;

#[cfg(test)]
mod tests;
