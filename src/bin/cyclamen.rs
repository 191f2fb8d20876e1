//! `cyclamen`: the operator's command line; see `docs/OPERATING.md`.

use std::process::ExitCode;

fn main() -> ExitCode {
    cyclamenrouter::cli::run_cli()
}
