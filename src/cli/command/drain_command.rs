use std::{fmt, path::PathBuf};

use gumdrop::Options;
use serde::Serialize;

use crate::{
    admin::{AdminClient, DrainRequest},
    agent::drain::{DrainReport, DrainStage},
    cli::{CliError, OperatorAccess, OutputFormat, UsageFault, parse_address},
    clock::SpanMillis,
    program::ExitStatus,
};

/// The pause between two looks at a drain.
const POLL_MILLIS: SpanMillis = SpanMillis::new(500);
/// Milliseconds in a second.
const SECOND_MILLIS: u64 = 1_000;

/// The options of `cyclamen drain`.
#[allow(
    clippy::struct_excessive_bools,
    reason = "each is a flag of the command line"
)]
#[derive(Debug, Options)]
pub(crate) struct DrainOptions {
    /// Prints the help text.
    #[options(help = "print this text")]
    help: bool,
    /// Writes the report as JSON.
    #[options(no_short, help = "write the report as JSON")]
    pub(crate) json: bool,
    /// Takes the drain back.
    #[options(no_short, help = "take the drain back")]
    cancel: bool,
    /// Only asks.
    #[options(no_short, help = "only tell how far the drain has come")]
    status: bool,
    /// When to cut what still runs.
    #[options(
        no_short,
        meta = "N",
        help = "cut what still runs after N seconds; without it nothing is cut"
    )]
    deadline_seconds: Option<u64>,
    /// Waits for the end of the drain.
    #[options(no_short, help = "wait until nothing is open any more")]
    wait: bool,
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
    /// The address of the agent.
    #[options(free, help = "the admin address of the agent")]
    address: Option<String>,
}

/// What the agent answered.
#[derive(Debug, Serialize)]
struct DrainView {
    agent: String,
    #[serde(flatten)]
    report: DrainReport,
}

impl DrainOptions {
    /// Starts, cancels or looks at the drain of one agent.
    pub(crate) async fn run(&self, settings: Option<PathBuf>) -> Result<ExitStatus, CliError> {
        self.check()?;
        let address = self.address.as_deref();
        let address = address.ok_or(UsageFault::Missing { name: "ADDR" })?;
        let address = parse_address("ADDR", address)?;
        let settings = self.settings.clone().or(settings);
        let access = OperatorAccess::new(settings.as_deref())?.with_secret(self.secret.as_deref());
        let client = AdminClient::new(address, access.secret()?)?;
        let mut report = self.order(&client).await?;
        while self.wait && matches!(report.stage, DrainStage::Leaving { .. }) {
            tokio::time::sleep(POLL_MILLIS.duration()).await;
            report = client.drain_status().await?;
        }
        let view = DrainView {
            agent: address.to_string(),
            report,
        };
        OutputFormat::from_flag(self.json).print(&view);
        Ok(ExitStatus::Done)
    }

    async fn order(&self, client: &AdminClient) -> Result<DrainReport, CliError> {
        let report = if self.status {
            client.drain_status().await
        } else if self.cancel {
            client.cancel_drain().await
        } else {
            let seconds = self.deadline_seconds;
            let deadline =
                seconds.map(|seconds| SpanMillis::new(seconds.saturating_mul(SECOND_MILLIS)));
            client.drain(DrainRequest { deadline }).await
        };
        Ok(report?)
    }

    fn check(&self) -> Result<(), UsageFault> {
        let kinds = [self.cancel, self.status, self.deadline_seconds.is_some()];
        if kinds.iter().filter(|kind| **kind).count() > 1 {
            return Err(UsageFault::BadValue {
                name: "the command line",
                value: "several of --cancel, --status and --deadline-seconds".to_owned(),
                allowed: "one of them",
            });
        }
        Ok(())
    }
}

impl fmt::Display for DrainView {
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
        let told = if announced {
            "knows"
        } else {
            "was not told yet"
        };
        write!(
            formatter,
            "\ncontrol {told}; open: {} running, {} waiting, {} streams, {} relayed",
            open.running, open.waiting, open.streams, open.relayed
        )
    }
}
