//! `cyclamen-balancer`: see `docs/OPERATING.md`.

use std::process::ExitCode;

use cyclamenrouter::{
    balancer::run_balancer,
    program::{LogFormat, run_program, start_logs},
};

fn main() -> ExitCode {
    start_logs(LogFormat::Text);
    run_program("cyclamen-balancer", run_balancer)
}
