use std::{fmt, path::PathBuf};

use gumdrop::Options;
use serde::Serialize;

use crate::{
    admin::{AdminClient, DrainRequest},
    agent::drain::{DrainReport, DrainStage},
    cli::{CliError, OperatorAccess, OutputFormat, UsageError, parse_address},
    clock::SpanMillis,
    program::ExitStatus,
};

/// The interval between two queries of a drain's progress.
const POLL_MILLIS: SpanMillis = SpanMillis::new(500);
const MILLIS_PER_SECOND: u64 = 1_000;

/// The options of `cyclamen drain`.
#[allow(
    clippy::struct_excessive_bools,
    reason = "each is a flag of the command line"
)]
#[derive(Debug, Options)]
pub(crate) struct DrainOptions {
    #[options(help = "print this text")]
    help: bool,
    /// Prints the report as JSON.
    #[options(no_short, help = "write the report as JSON")]
    pub(crate) json: bool,
    /// Cancels the drain.
    #[options(no_short, help = "cancel the drain")]
    cancel: bool,
    /// Reports the drain's progress without starting one.
    #[options(no_short, help = "only report the progress of the drain")]
    status: bool,
    /// Seconds after which open requests and streams are cut.
    #[options(
        no_short,
        meta = "N",
        help = "cut requests and streams that are still open after N seconds; by default none are cut"
    )]
    deadline_seconds: Option<u64>,
    /// Waits until the drain has finished.
    #[options(no_short, help = "wait until no request or stream is open")]
    wait: bool,
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
    /// The admin address of the agent.
    #[options(free, help = "the admin address of the agent")]
    address: Option<String>,
}

/// The state of an agent's drain.
#[derive(Debug, Serialize)]
struct AgentDrainReport {
    agent: String,
    #[serde(flatten)]
    report: DrainReport,
}

impl DrainOptions {
    /// Starts, cancels or queries the drain of one agent.
    pub(crate) async fn run(&self, settings: Option<PathBuf>) -> Result<ExitStatus, CliError> {
        self.check_exclusive_flags()?;
        let address = self.address.as_deref();
        let address = address.ok_or(UsageError::Missing { name: "ADDR" })?;
        let address = parse_address("ADDR", address)?;
        let settings = self.settings.clone().or(settings);
        let access = OperatorAccess::new(settings.as_deref())?.with_secret(self.secret.as_deref());
        let client = AdminClient::new(address, access.secret()?)?;
        let mut report = self.send_command(&client).await?;
        while self.wait && matches!(report.stage, DrainStage::Leaving { .. }) {
            tokio::time::sleep(POLL_MILLIS.duration()).await;
            report = client.drain_status().await?;
        }
        let report = AgentDrainReport {
            agent: address.to_string(),
            report,
        };
        OutputFormat::from_flag(self.json).print(&report);
        Ok(ExitStatus::Success)
    }

    async fn send_command(&self, client: &AdminClient) -> Result<DrainReport, CliError> {
        let report = if self.status {
            client.drain_status().await
        } else if self.cancel {
            client.cancel_drain().await
        } else {
            let seconds = self.deadline_seconds;
            let deadline =
                seconds.map(|seconds| SpanMillis::new(seconds.saturating_mul(MILLIS_PER_SECOND)));
            client.drain(DrainRequest { deadline }).await
        };
        Ok(report?)
    }

    fn check_exclusive_flags(&self) -> Result<(), UsageError> {
        let flags = [self.cancel, self.status, self.deadline_seconds.is_some()];
        if flags.iter().filter(|flag| **flag).count() > 1 {
            return Err(UsageError::BadValue {
                name: "the command line",
                value: "several of --cancel, --status and --deadline-seconds".to_owned(),
                allowed: "one of them",
            });
        }
        Ok(())
    }
}

impl fmt::Display for AgentDrainReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DrainReport {
            stage,
            announced,
            open,
        } = self.report;
        match stage {
            DrainStage::Serving => write!(formatter, "{}: serving, no drain", self.agent)?,
            DrainStage::Leaving { cut_at: None, .. } => {
                write!(formatter, "{}: leaving; nothing will be cut", self.agent)?;
            }
            DrainStage::Leaving {
                cut_at: Some(_), ..
            } => write!(formatter, "{}: leaving, with a deadline", self.agent)?,
            DrainStage::Drained { cut: false, .. } => {
                write!(formatter, "{}: drained, nothing was cut", self.agent)?;
            }
            DrainStage::Drained { cut: true, .. } => {
                write!(formatter, "{}: drained, open work was cut", self.agent)?;
            }
        }
        let announcement = if announced {
            "knows"
        } else {
            "was not told yet"
        };
        write!(
            formatter,
            "\ncontrol {announcement}; open: {} running, {} waiting, {} streams, {} relayed",
            open.running, open.waiting, open.streams, open.relayed
        )
    }
}
