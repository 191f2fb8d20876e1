use std::{env, path::PathBuf, process::ExitCode};

use gumdrop::Options;

use super::{
    LabError,
    cost::{CostEffort, CostPart, write_cost_table},
    policy::{PolicyCase, draw_plot, failure_cases, policy_cases, run_cases, write_tables},
};
use crate::program::ExitStatus;

/// The command line of `cyclamen-lab`.
#[derive(Debug, Options)]
struct LabOptions {
    /// Prints the help text.
    #[options(help = "print this text")]
    help: bool,
    #[options(command)]
    command: Option<LabCommand>,
}

#[derive(Debug, Options)]
enum LabCommand {
    /// Compares accepting and relay rules.
    #[options(help = "compare accepting and relay rules")]
    Policy(ExperimentOptions),
    /// Shows the effects of failures.
    #[options(help = "show the effects of failures under the chosen rules")]
    Failure(ExperimentOptions),
    /// Measures the cost of packets, routes, changes and requests.
    #[options(help = "measure the cost of packets, routes, changes and requests")]
    Cost(CostOptions),
}

/// The options of `cyclamen-lab cost`.
#[derive(Debug, Options)]
struct CostOptions {
    /// Prints the help text.
    #[options(help = "print this text")]
    help: bool,
    /// The part to measure; all if absent.
    #[options(
        no_short,
        meta = "PART",
        help = "routes, packets, relays, control or agent; all without it"
    )]
    part: Option<CostPart>,
    /// Uses small sizes.
    #[options(
        no_short,
        help = "run all code on small sizes; the figures are meaningless"
    )]
    short: bool,
    /// Prints JSON instead of a table.
    #[options(no_short, help = "print JSON instead of a Markdown table")]
    json: bool,
}

/// The options of `cyclamen-lab policy` and `failure`.
#[derive(Debug, Options)]
struct ExperimentOptions {
    /// Prints the help text.
    #[options(help = "print this text")]
    help: bool,
    /// The first of the five seeds of each case.
    #[options(
        no_short,
        meta = "N",
        help = "first of the five seeds of each case",
        default = "1"
    )]
    seed: u64,
    /// The number of requests measured per run.
    #[options(
        no_short,
        meta = "N",
        help = "requests measured per run; each case has five runs",
        default = "100000"
    )]
    requests: u64,
    /// Prints JSON instead of tables.
    #[options(no_short, help = "print JSON instead of Markdown tables")]
    json: bool,
    /// The SVG file for the plot.
    #[options(
        no_short,
        meta = "FILE",
        help = "plot the waits of the relay rules to an SVG file"
    )]
    plot: Option<PathBuf>,
}

/// Runs `cyclamen-lab` with the process arguments and returns its exit code.
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
        Some(LabCommand::Policy(options)) => {
            run_experiment(&options, &policy_cases(options.seed, options.requests))
        }
        Some(LabCommand::Failure(options)) => {
            run_experiment(&options, &failure_cases(options.seed, options.requests))
        }
        Some(LabCommand::Cost(options)) => run_cost(&options),
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
        Ok(()) => ExitStatus::Success.into(),
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
    let mut results = Vec::new();
    for part in parts {
        results.extend(part.measure(effort)?);
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&results)?);
    } else {
        print!("{}", write_cost_table(&results)?);
    }
    Ok(())
}

fn run_experiment(options: &ExperimentOptions, cases: &[PolicyCase]) -> Result<(), LabError> {
    if options.help {
        println!("{}", ExperimentOptions::usage());
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
