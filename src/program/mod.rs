//! Start and stop of every program: command line, logging, stop signals and exit
//! status.

mod exit_status;
mod log_setup;
mod program_event;
mod program_options;
mod stop_signal;

pub use exit_status::ExitStatus;
pub use log_setup::{LogFormat, LogGuard, init_logging, init_stdout_logging};
pub use program_options::{ProgramError, ProgramOptions, run_program};
pub use stop_signal::{StopSignal, StopTrigger};

pub(crate) use log_setup::init_quiet_logging;
pub(crate) use program_event::ProgramEvent;

#[cfg(test)]
mod tests;
