use std::{fmt, path::PathBuf};

use gumdrop::Options;
use serde::Serialize;

use super::check_command::read_manifest;
use crate::{
    cli::{
        AddressList, CliError, GroupView, InForceReport, OperatorAccess, OutputFormat, UsageFault,
    },
    clock::{ClockMillis, ProcessClock, SpanMillis},
    control::{
        api::{ApplyReceipt, ApplyRequest},
        client::ControlClient,
    },
    key::FeedRevision,
    program::ExitStatus,
};

/// The pause between two looks at the balancers.
const POLL_MILLIS: SpanMillis = SpanMillis::new(100);
/// Milliseconds in a second.
const SECOND_MILLIS: u64 = 1_000;

/// The options of `cyclamen apply`.
#[derive(Debug, Options)]
pub(crate) struct ApplyOptions {
    /// Prints the help text.
    #[options(help = "print this text")]
    help: bool,
    /// Writes the report as JSON.
    #[options(no_short, help = "write the report as JSON")]
    pub(crate) json: bool,
    /// The control replicas.
    #[options(
        no_short,
        meta = "ADDR,...",
        help = "the call addresses of the control replicas"
    )]
    control: Option<AddressList>,
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
    /// Waits for the balancers.
    #[options(
        no_short,
        help = "wait until the manifest is in force on every balancer"
    )]
    wait: bool,
    /// How long to wait.
    #[options(no_short, meta = "N", default = "30", help = "wait N seconds at most")]
    timeout_seconds: u64,
    /// The manifest file.
    #[options(free, help = "the manifest file")]
    file: Option<PathBuf>,
}

/// What became of the manifest.
#[derive(Debug, Serialize)]
struct ApplyReport {
    accepted: ApplyReceipt,
    waited_millis: Option<u64>,
    in_force: Option<InForceReport>,
}

impl ApplyOptions {
    /// Hands the manifest over, and waits for the balancers if asked to.
    pub(crate) async fn run(&self, settings: Option<PathBuf>) -> Result<ExitStatus, CliError> {
        let path = self
            .file
            .as_ref()
            .ok_or(UsageFault::Missing { name: "FILE" })?;
        let settings = self.settings.clone().or(settings);
        let access = OperatorAccess::new(settings.as_deref())?
            .with_control(self.control.as_ref())
            .with_secret(self.secret.as_deref());
        let client = ControlClient::new(access.control()?.to_vec(), access.secret()?);
        let manifest = read_manifest(path)?;
        let accepted = client.apply(&ApplyRequest { manifest }).await?;
        let report = self.report(&client, accepted).await;
        OutputFormat::from_flag(self.json).print(&report);
        Ok(report.exit_status())
    }

    async fn report(&self, client: &ControlClient, accepted: ApplyReceipt) -> ApplyReport {
        if !self.wait {
            return ApplyReport {
                accepted,
                waited_millis: None,
                in_force: None,
            };
        }
        let clock = ProcessClock::new();
        let limit = SpanMillis::new(self.timeout_seconds.saturating_mul(SECOND_MILLIS));
        let in_force = wait_in_force(client, accepted.revision, clock, limit).await;
        ApplyReport {
            accepted,
            waited_millis: Some(clock.now().since(ClockMillis::ORIGIN).millis()),
            in_force: Some(in_force),
        }
    }
}

/// Asks for the balancers' progress until all have the revision, or `limit` passed.
async fn wait_in_force(
    client: &ControlClient,
    revision: FeedRevision,
    clock: ProcessClock,
    limit: SpanMillis,
) -> InForceReport {
    let end = clock.now().after(limit);
    loop {
        let view = GroupView::ask(client).await;
        let report = InForceReport::new(&view, revision);
        if report.everywhere || clock.now() >= end {
            return report;
        }
        tokio::time::sleep(POLL_MILLIS.duration()).await;
    }
}

impl ApplyReport {
    /// An accepted manifest that is not in force in time is a failure.
    fn exit_status(&self) -> ExitStatus {
        match &self.in_force {
            Some(report) if !report.everywhere => ExitStatus::Failed,
            _ => ExitStatus::Done,
        }
    }
}

impl fmt::Display for ApplyReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let accepted = &self.accepted;
        let again = if accepted.resent { " before" } else { "" };
        writeln!(
            formatter,
            "version {} accepted{again} at {} ({})",
            accepted.version, accepted.revision, accepted.digest
        )?;
        if let (Some(report), Some(millis)) = (&self.in_force, self.waited_millis) {
            write!(formatter, "after {millis} ms: {report}")?;
        }
        Ok(())
    }
}
