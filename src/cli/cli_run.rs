use std::{env, process::ExitCode};

use super::CliEvent;
use crate::{event::log_event, program::ExitStatus};

/// Runs the operator's command line.
#[must_use]
pub fn run_cli() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    log_event!(debug, CliEvent::Started);
    match arguments.first().map(String::as_str) {
        Some("--version") => println!("cyclamen {}", env!("CARGO_PKG_VERSION")),
        Some("--help") => println!("Usage: cyclamen COMMAND"),
        _ => return ExitStatus::Usage.into(),
    }
    ExitStatus::Done.into()
}
