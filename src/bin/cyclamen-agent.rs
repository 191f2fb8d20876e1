//! `cyclamen-agent`: see `docs/OPERATING.md`.

use std::process::ExitCode;

use cyclamenrouter::{
    agent::run_agent,
    program::{LogFormat, run_program, start_logs},
};

fn main() -> ExitCode {
    start_logs(LogFormat::Text);
    run_program("cyclamen-agent", run_agent)
}
