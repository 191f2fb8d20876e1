//! Measures the cost of the agent's decisions: `cargo bench --bench agent`.
//!
//! Prints the results as JSON.

use std::process::ExitCode;

use cyclamenrouter::agent::measure_decisions;

/// The number of rounds of a full run.
const ROUNDS: u32 = 200_000;
/// The number of rounds with `--short`, which only checks that the code works.
const SHORT_ROUNDS: u32 = 100;

fn main() -> ExitCode {
    let is_short = std::env::args().any(|argument| argument == "--short");
    let rounds = if is_short { SHORT_ROUNDS } else { ROUNDS };
    match measure_decisions(rounds) {
        Ok(figures) => {
            println!("{}", serde_json::json!({ "agent_decisions": figures }));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
