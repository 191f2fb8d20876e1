//! `cyclamen-control`: see `docs/OPERATING.md`.

use std::process::ExitCode;

use cyclamenrouter::{control::run_control, program::run_program};

fn main() -> ExitCode {
    run_program("cyclamen-control", run_control)
}
