use std::{env, future::Future, path::PathBuf, process::ExitCode};

use gumdrop::Options;
use miette::Diagnostic;
use thiserror::Error;

use super::ExitStatus;
use crate::settings::{SettingsError, ValidateSettings, load_settings};

/// The command line of a long-running program.
#[derive(Debug, Options)]
pub struct ProgramOptions {
    /// Prints the help text.
    #[options(help = "print this text")]
    pub help: bool,
    /// Prints the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// The settings file.
    #[options(meta = "FILE", help = "read the settings from FILE")]
    pub settings: Option<PathBuf>,
    /// Validates the settings and exits.
    #[options(no_short, help = "check the settings and stop")]
    pub check_settings: bool,
}

/// Why a program could not start.
#[derive(Debug, Error, Diagnostic)]
pub enum ProgramError {
    /// The settings were rejected.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
}

/// Runs a long-running program from its command line to its exit code.
///
/// `run` gets the validated settings and returns when the program should stop.
pub fn run_program<T, F, E>(name: &str, run: impl FnOnce(T) -> F) -> ExitCode
where
    T: ValidateSettings,
    F: Future<Output = Result<(), E>>,
    E: Diagnostic + Send + Sync + 'static,
{
    let arguments: Vec<String> = env::args().skip(1).collect();
    let options = match ProgramOptions::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{name}: {error}; see {name} --help");
            return ExitStatus::Usage.into();
        }
    };
    if options.help {
        println!(
            "Usage: {name} --settings FILE\n\n{}",
            ProgramOptions::usage()
        );
        return ExitStatus::Success.into();
    }
    if options.version {
        println!("{name} {}", env!("CARGO_PKG_VERSION"));
        return ExitStatus::Success.into();
    }
    let Some(path) = options.settings else {
        eprintln!("{name}: --settings FILE is required; see {name} --help");
        return ExitStatus::Usage.into();
    };
    let settings: T = match load_settings(&path) {
        Ok(settings) => settings,
        Err(error) => return print_error(error),
    };
    if options.check_settings {
        println!("{}: settings are good", path.display());
        return ExitStatus::Success.into();
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{name}: cannot start the runtime: {error}");
            return ExitStatus::Failed.into();
        }
    };
    match runtime.block_on(run(settings)) {
        Ok(()) => ExitStatus::Success.into(),
        Err(error) => print_error(error),
    }
}

fn print_error(error: impl Diagnostic + Send + Sync + 'static) -> ExitCode {
    eprintln!("{:?}", miette::Report::new(error));
    ExitStatus::Failed.into()
}
