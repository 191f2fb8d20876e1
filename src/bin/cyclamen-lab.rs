//! `cyclamen-lab`: experiments on rules and costs; see `docs/design/accepting-and-relay.md`.

use std::process::ExitCode;

fn main() -> ExitCode {
    cyclamenrouter::lab::run_lab()
}
