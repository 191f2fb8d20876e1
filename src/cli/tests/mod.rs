//! Tests of the command line without network access.

mod arguments;
mod checking;
mod in_force;
mod secrets;

use super::cli_run::run_arguments;
use crate::program::ExitStatus;

fn run(arguments: &[&str]) -> ExitStatus {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    run_arguments(&arguments)
}
