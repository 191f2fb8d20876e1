//! `cyclamen-balancer`: see `docs/OPERATING.md`.

use std::process::ExitCode;

use cyclamenrouter::{balancer::run_balancer, program::run_program};

fn main() -> ExitCode {
    run_program("cyclamen-balancer", run_balancer)
}
