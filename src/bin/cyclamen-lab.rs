//! `cyclamen-lab`: simulations of accepting and relay rules, and cost measurements.
//!
//! See `docs/design/accepting-and-relay.md`.

use std::process::ExitCode;

fn main() -> ExitCode {
    cyclamenrouter::lab::run_lab()
}
