use std::{fmt, path::PathBuf};

use gumdrop::Options;
use serde::Serialize;
use serde_json::Value;

use crate::{
    admin::AdminClient,
    cli::{CliError, OperatorAccess, OutputFormat, UsageError, parse_address},
    program::ExitStatus,
};

/// The options of `cyclamen dump`.
#[derive(Debug, Options)]
pub(crate) struct DumpOptions {
    #[options(help = "print this text")]
    help: bool,
    /// Prints errors as JSON too; the dump itself is always JSON.
    #[options(no_short, help = "accepted for scripts; a dump is always JSON")]
    pub(crate) json: bool,
    /// The file with the deployment secret.
    #[options(no_short, meta = "FILE", help = "the file with the deployment secret")]
    secret: Option<PathBuf>,
    /// The operator's settings file.
    #[options(
        no_short,
        meta = "FILE",
        help = "read the operator's settings from FILE"
    )]
    settings: Option<PathBuf>,
    /// The admin address of the process.
    #[options(free, help = "the admin address of the process")]
    address: Option<String>,
}

/// The state of a process as it returned it.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct DumpReport(Value);

impl DumpOptions {
    /// Prints the full state of one process.
    pub(crate) async fn run(&self, settings: Option<PathBuf>) -> Result<ExitStatus, CliError> {
        let address = self.address.as_deref();
        let address = address.ok_or(UsageError::Missing { name: "ADDR" })?;
        let address = parse_address("ADDR", address)?;
        let settings = self.settings.clone().or(settings);
        let access = OperatorAccess::new(settings.as_deref())?.with_secret(self.secret.as_deref());
        let client = AdminClient::new(address, access.secret()?)?;
        let report = DumpReport(client.dump().await?);
        OutputFormat::Json.print(&report);
        Ok(ExitStatus::Success)
    }
}

impl fmt::Display for DumpReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:#}", self.0)
    }
}
