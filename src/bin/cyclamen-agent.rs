//! `cyclamen-agent`: see `docs/OPERATING.md`.

use std::process::ExitCode;

use cyclamenrouter::{agent::run_agent, program::run_program};

fn main() -> ExitCode {
    run_program("cyclamen-agent", run_agent)
}
