use gumdrop::Options;

use crate::{
    cli::{CliError, OutputFormat, UsageError, block_on},
    demo::{MIN_DEMO_SECONDS, run_demo},
    program::ExitStatus,
};

/// The options of `cyclamen demo`.
#[derive(Debug, Options)]
pub(crate) struct DemoOptions {
    #[options(help = "print this text")]
    help: bool,
    /// Prints the report as JSON.
    #[options(no_short, help = "write the report as JSON")]
    pub(crate) json: bool,
    /// The duration of the traffic in seconds.
    #[options(
        no_short,
        meta = "N",
        default = "12",
        help = "send traffic for N seconds"
    )]
    seconds: u64,
}

impl DemoOptions {
    /// Runs a complete site in this process; fails when a guarantee was violated.
    pub(crate) fn run(&self) -> Result<ExitStatus, CliError> {
        if self.seconds < MIN_DEMO_SECONDS {
            let error = UsageError::BadValue {
                name: "--seconds",
                value: self.seconds.to_string(),
                allowed: "6 or more, so that every step has enough time",
            };
            return Err(error.into());
        }
        let folder = tempfile::tempdir().map_err(CliError::TemporaryFolder)?;
        let progress = |line: &str| eprintln!("demo: {line}");
        let report = block_on(async {
            let report = run_demo(folder.path(), self.seconds, progress).await?;
            Ok(report)
        })?;
        OutputFormat::from_flag(self.json).print(&report);
        Ok(if report.is_success() {
            ExitStatus::Success
        } else {
            ExitStatus::Failed
        })
    }
}
