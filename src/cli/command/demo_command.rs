use gumdrop::Options;

use crate::{
    cli::{CliError, OutputFormat, UsageFault, block_on},
    demo::{LEAST_DEMO_SECONDS, run_demo},
    program::ExitStatus,
};

/// The options of `cyclamen demo`.
#[derive(Debug, Options)]
pub(crate) struct DemoOptions {
    /// Prints the help text.
    #[options(help = "print this text")]
    help: bool,
    /// Writes the report as JSON.
    #[options(no_short, help = "write the report as JSON")]
    pub(crate) json: bool,
    /// How long traffic runs.
    #[options(
        no_short,
        meta = "N",
        default = "12",
        help = "keep traffic going for N seconds"
    )]
    seconds: u64,
}

impl DemoOptions {
    /// Runs a whole site in this process; it fails when a promise broke.
    pub(crate) fn run(&self) -> Result<ExitStatus, CliError> {
        if self.seconds < LEAST_DEMO_SECONDS {
            let fault = UsageFault::BadValue {
                name: "--seconds",
                value: self.seconds.to_string(),
                allowed: "6 or more, so that every step has its time",
            };
            return Err(fault.into());
        }
        let folder = tempfile::tempdir().map_err(CliError::TemporaryFolder)?;
        let progress = |line: &str| eprintln!("demo: {line}");
        let report = block_on(async {
            let report = run_demo(folder.path(), self.seconds, progress).await?;
            Ok(report)
        })?;
        OutputFormat::from_flag(self.json).print(&report);
        Ok(if report.is_kept() {
            ExitStatus::Done
        } else {
            ExitStatus::Failed
        })
    }
}
