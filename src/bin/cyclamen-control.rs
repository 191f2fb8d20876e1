//! `cyclamen-control`: see `docs/OPERATING.md`.

use std::process::ExitCode;

use cyclamenrouter::{
    control::run_control,
    program::{LogFormat, run_program, start_logs},
};

fn main() -> ExitCode {
    start_logs(LogFormat::Text);
    run_program("cyclamen-control", run_control)
}
