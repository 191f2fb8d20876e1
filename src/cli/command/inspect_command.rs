use std::fmt;

use gumdrop::Options;
use serde::Serialize;
use serde_json::Value;

use crate::{
    cli::{CliError, OutputFormat, UsageError, parse_address},
    fleet::{InspectRequest, inspect_process},
    flow::FlowKey,
    program::ExitStatus,
};

/// The options of `cyclamen inspect`.
#[derive(Debug, Options)]
pub(crate) struct InspectOptions {
    #[options(help = "print this text")]
    help: bool,
    /// Prints the report as JSON.
    #[options(no_short, help = "write the report as JSON")]
    pub(crate) json: bool,
    /// The caller's address and port of the flow to look up.
    #[options(
        no_short,
        meta = "ADDR",
        help = "look up the flow of this caller's address and port"
    )]
    caller: Option<String>,
    /// The address and port that the flow was opened to.
    #[options(
        no_short,
        meta = "ADDR",
        help = "the address and port that the flow was opened to"
    )]
    listener: Option<String>,
    /// The inspection address of the process.
    #[options(free, help = "the inspection address of an entry VM or an agent")]
    address: Option<String>,
}

/// The state or flow that the process returned.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct InspectReport(Value);

impl InspectOptions {
    /// Prints the state of a process, or its record of one flow.
    pub(crate) async fn run(&self) -> Result<ExitStatus, CliError> {
        let address = self.address.as_deref();
        let address = address.ok_or(UsageError::Missing { name: "ADDR" })?;
        let address = parse_address("ADDR", address)?;
        let request = self.request()?;
        let reply = inspect_process(address, request)
            .await
            .map_err(|cause| CliError::Inspect { address, cause })?;
        OutputFormat::from_flag(self.json).print(&InspectReport(reply));
        Ok(ExitStatus::Success)
    }

    fn request(&self) -> Result<InspectRequest, CliError> {
        match (self.caller.as_deref(), self.listener.as_deref()) {
            (None, None) => Ok(InspectRequest::Dump),
            (Some(caller), Some(listener)) => Ok(InspectRequest::Flow(FlowKey {
                caller: parse_address("--caller", caller)?,
                listener: parse_address("--listener", listener)?,
            })),
            (Some(_), None) => Err(UsageError::Missing { name: "--listener" }.into()),
            (None, Some(_)) => Err(UsageError::Missing { name: "--caller" }.into()),
        }
    }
}

impl fmt::Display for InspectReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:#}", self.0)
    }
}
