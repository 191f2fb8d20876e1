use std::{env, path::PathBuf, process::ExitCode};

use gumdrop::Options;

use super::{
    LabError,
    cost::{CostEffort, CostPart, write_lines},
    policy::{PolicyCase, draw_plot, failure_cases, policy_cases, run_cases, write_tables},
};
use crate::program::ExitStatus;

/// The command line of `cyclamen-lab`.
#[derive(Debug, Options)]
struct LabOptions {
    /// Prints the help text.
    #[options(help = "print this text")]
    help: bool,
    /// What to do.
    #[options(command)]
    command: Option<LabCommand>,
}

#[derive(Debug, Options)]
enum LabCommand {
    /// Compares accepting and relay rules.
    #[options(help = "compare accepting and relay rules")]
    Policy(TrialOptions),
    /// Shows what failures cost.
    #[options(help = "show what failures cost under the chosen rules")]
    Failure(TrialOptions),
    /// Measures what packets, routes, changes and requests cost.
    #[options(help = "measure what packets, routes, changes and requests cost")]
    Cost(CostOptions),
}

/// The options of the measurement of costs.
#[derive(Debug, Options)]
struct CostOptions {
    /// Prints the help text.
    #[options(help = "print this text")]
    help: bool,
    /// The one part to measure.
    #[options(
        no_short,
        meta = "PART",
        help = "routes, packets, relays, control or agent; all without it"
    )]
    part: Option<CostPart>,
    /// Runs all code on small sizes.
    #[options(
        no_short,
        help = "run all code on small sizes; the figures say nothing"
    )]
    short: bool,
    /// Prints JSON in place of a table.
    #[options(no_short, help = "print JSON in place of a Markdown table")]
    json: bool,
}

/// The options of an experiment.
#[derive(Debug, Options)]
struct TrialOptions {
    /// Prints the help text.
    #[options(help = "print this text")]
    help: bool,
    /// The seed of every draw.
    #[options(
        no_short,
        meta = "N",
        help = "first of the five seeds of each case",
        default = "1"
    )]
    seed: u64,
    /// The requests that each run measures.
    #[options(
        no_short,
        meta = "N",
        help = "requests measured a run; each case has five",
        default = "100000"
    )]
    requests: u64,
    /// Prints JSON in place of tables.
    #[options(no_short, help = "print JSON in place of Markdown tables")]
    json: bool,
    /// Where the plot goes.
    #[options(
        no_short,
        meta = "FILE",
        help = "draw the relay rules into an SVG file"
    )]
    plot: Option<PathBuf>,
}

/// Runs `cyclamen-lab` from its command line to its exit code.
#[must_use]
pub fn run_lab() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let options = match LabOptions::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("cyclamen-lab: {error}; see cyclamen-lab --help");
            return ExitStatus::Usage.into();
        }
    };
    let outcome = match options.command {
        Some(LabCommand::Policy(trial)) => {
            run_trial(&trial, &policy_cases(trial.seed, trial.requests))
        }
        Some(LabCommand::Failure(trial)) => {
            run_trial(&trial, &failure_cases(trial.seed, trial.requests))
        }
        Some(LabCommand::Cost(cost)) => run_cost(&cost),
        None => {
            println!(
                "Usage: cyclamen-lab COMMAND [OPTIONS]\n\n{}",
                LabOptions::usage()
            );
            println!("\nCommands:\n{}", LabCommand::usage());
            return ExitStatus::Usage.into();
        }
    };
    match outcome {
        Ok(()) => ExitStatus::Done.into(),
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            ExitStatus::Failed.into()
        }
    }
}

fn run_cost(options: &CostOptions) -> Result<(), LabError> {
    if options.help {
        println!("{}", CostOptions::usage());
        return Ok(());
    }
    let effort = if options.short {
        CostEffort::Short
    } else {
        CostEffort::Full
    };
    let parts = options
        .part
        .map_or(CostPart::ALL.to_vec(), |part| vec![part]);
    let mut lines = Vec::new();
    for part in parts {
        lines.extend(part.measure(effort)?);
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&lines)?);
    } else {
        print!("{}", write_lines(&lines)?);
    }
    Ok(())
}

fn run_trial(options: &TrialOptions, cases: &[PolicyCase]) -> Result<(), LabError> {
    if options.help {
        println!("{}", TrialOptions::usage());
        return Ok(());
    }
    let results = run_cases(cases);
    if let Some(path) = &options.plot {
        draw_plot(path, &results)?;
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&results)?);
    } else {
        print!("{}", write_tables(&results)?);
    }
    Ok(())
}
