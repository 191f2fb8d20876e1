use std::{fmt, path::PathBuf};

use gumdrop::Options;
use serde::Serialize;
use serde_json::Value;

use crate::{
    admin::AdminClient,
    cli::{CliError, OperatorAccess, OutputFormat, UsageFault, parse_address},
    program::ExitStatus,
};

/// The options of `cyclamen dump`.
#[derive(Debug, Options)]
pub(crate) struct DumpOptions {
    /// Prints the help text.
    #[options(help = "print this text")]
    help: bool,
    /// Writes the report as JSON.
    #[options(no_short, help = "accepted for scripts; a dump is always JSON")]
    pub(crate) json: bool,
    /// The deployment secret.
    #[options(no_short, meta = "FILE", help = "the file of the deployment secret")]
    secret: Option<PathBuf>,
    /// The operator's settings.
    #[options(
        no_short,
        meta = "FILE",
        help = "read the operator's settings from FILE"
    )]
    settings: Option<PathBuf>,
    /// The address of the process.
    #[options(free, help = "the admin address of the process")]
    address: Option<String>,
}

/// The state of a process, as it handed it over.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct DumpReport(Value);

impl DumpOptions {
    /// Prints the whole state of one process.
    pub(crate) async fn run(&self, settings: Option<PathBuf>) -> Result<ExitStatus, CliError> {
        let address = self.address.as_deref();
        let address = address.ok_or(UsageFault::Missing { name: "ADDR" })?;
        let address = parse_address("ADDR", address)?;
        let settings = self.settings.clone().or(settings);
        let access = OperatorAccess::new(settings.as_deref())?.with_secret(self.secret.as_deref());
        let client = AdminClient::new(address, access.secret()?)?;
        let report = DumpReport(client.dump().await?);
        OutputFormat::Json.print(&report);
        Ok(ExitStatus::Done)
    }
}

impl fmt::Display for DumpReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:#}", self.0)
    }
}
