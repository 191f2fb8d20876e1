use std::{
    env,
    path::{Path, PathBuf},
    process::ExitCode,
};

use gumdrop::Options;

use super::{
    CliError, CliEvent, OperatorSettings, OutputFormat, UsageError,
    cli_options::{CliCommand, CliOptions},
};
use crate::{
    event::log_event,
    program::{ExitStatus, init_quiet_logging},
    settings::load_settings,
};

/// Runs the command line of this process.
#[must_use]
pub fn run_cli() -> ExitCode {
    init_quiet_logging();
    let arguments: Vec<String> = env::args().skip(1).collect();
    log_event!(debug, CliEvent::Started);
    run_arguments(&arguments).into()
}

/// Runs one command line and returns its exit status.
pub(crate) fn run_arguments(arguments: &[String]) -> ExitStatus {
    let options = match CliOptions::parse_args_default(arguments) {
        Ok(options) => options,
        Err(error) => {
            let error = UsageError::Options {
                message: format!("{error}; see cyclamen --help"),
            };
            return report_error(requested_format(arguments), &error.into());
        }
    };
    if options.help_requested() {
        print_help(&options);
        return ExitStatus::Success;
    }
    if options.version {
        println!("cyclamen {}", env!("CARGO_PKG_VERSION"));
        return ExitStatus::Success;
    }
    if options.check_settings {
        return check_settings(options.settings.as_deref());
    }
    let Some(command) = &options.command else {
        let error = UsageError::Missing { name: "COMMAND" };
        return report_error(OutputFormat::Text, &error.into());
    };
    match run_command(command, options.settings.clone()) {
        Ok(status) => status,
        Err(error) => report_error(command.output(), &error),
    }
}

fn check_settings(path: Option<&Path>) -> ExitStatus {
    let Some(path) = path else {
        let error = UsageError::Missing {
            name: "--settings FILE",
        };
        return report_error(OutputFormat::Text, &error.into());
    };
    match load_settings::<OperatorSettings>(path) {
        Ok(_) => {
            println!("{}: settings are good", path.display());
            ExitStatus::Success
        }
        Err(error) => report_error(OutputFormat::Text, &error.into()),
    }
}

fn run_command(command: &CliCommand, settings: Option<PathBuf>) -> Result<ExitStatus, CliError> {
    match command {
        CliCommand::Check(options) => options.run(),
        CliCommand::Apply(options) => block_on(options.run(settings)),
        CliCommand::Status(options) => block_on(options.run(settings)),
        CliCommand::Dump(options) => block_on(options.run(settings)),
        CliCommand::Inspect(options) => block_on(options.run()),
        CliCommand::Drain(options) => block_on(options.run(settings)),
        CliCommand::Call(options) => block_on(options.run()),
        CliCommand::Secret(options) => options.run(),
        CliCommand::TlsTestCertificate(options) => options.run(),
        CliCommand::Demo(options) => options.run(),
    }
}

/// Runs a future to completion on a new multi-threaded runtime.
pub(crate) fn block_on<T>(
    future: impl Future<Output = Result<T, CliError>>,
) -> Result<T, CliError> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(CliError::Runtime)?
        .block_on(future)
}

fn report_error(format: OutputFormat, error: &CliError) -> ExitStatus {
    format.print_error(error);
    error.exit_status()
}

/// Returns the format for errors of arguments that could not be parsed.
fn requested_format(arguments: &[String]) -> OutputFormat {
    OutputFormat::from_flag(arguments.iter().any(|argument| argument == "--json"))
}

fn print_help(options: &CliOptions) {
    match &options.command {
        Some(command) => {
            let name = options.command_name().unwrap_or_default();
            println!(
                "Usage: cyclamen {name} [OPTIONS]\n\n{}",
                command.self_usage()
            );
        }
        None => println!(
            "Usage: cyclamen [OPTIONS] COMMAND\n\n{}\n\nCommands:\n{}",
            CliOptions::usage(),
            CliOptions::command_list().unwrap_or_default()
        ),
    }
}
