use std::{fmt, path::PathBuf};

use gumdrop::Options;
use serde::Serialize;

use super::check_command::load_manifest;
use crate::{
    cli::{
        AddressList, CliError, GroupWatchers, InForceReport, OperatorAccess, OutputFormat,
        UsageError,
    },
    clock::{ClockMillis, ProcessClock, SpanMillis},
    control::{
        api::{ApplyReply, ApplyRequest},
        client::ControlClient,
    },
    key::FeedRevision,
    program::ExitStatus,
};

/// The interval between two queries of the balancers' progress.
const POLL_MILLIS: SpanMillis = SpanMillis::new(100);
const MILLIS_PER_SECOND: u64 = 1_000;

/// The options of `cyclamen apply`.
#[derive(Debug, Options)]
pub(crate) struct ApplyOptions {
    #[options(help = "print this text")]
    help: bool,
    /// Prints the report as JSON.
    #[options(no_short, help = "write the report as JSON")]
    pub(crate) json: bool,
    /// The call addresses of the control replicas.
    #[options(
        no_short,
        meta = "ADDR,...",
        help = "the call addresses of the control replicas"
    )]
    control: Option<AddressList>,
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
    /// Waits until the manifest is in force on every balancer.
    #[options(
        no_short,
        help = "wait until the manifest is in force on every balancer"
    )]
    wait: bool,
    /// The longest wait in seconds.
    #[options(no_short, meta = "N", default = "30", help = "wait N seconds at most")]
    timeout_seconds: u64,
    /// The manifest file.
    #[options(free, help = "the manifest file")]
    file: Option<PathBuf>,
}

/// The result of applying a manifest.
#[derive(Debug, Serialize)]
struct ApplyReport {
    accepted: ApplyReply,
    waited_millis: Option<u64>,
    in_force: Option<InForceReport>,
}

impl ApplyOptions {
    /// Submits the manifest and, with `--wait`, waits for the balancers.
    pub(crate) async fn run(&self, settings: Option<PathBuf>) -> Result<ExitStatus, CliError> {
        let path = self
            .file
            .as_ref()
            .ok_or(UsageError::Missing { name: "FILE" })?;
        let settings = self.settings.clone().or(settings);
        let access = OperatorAccess::new(settings.as_deref())?
            .with_control(self.control.as_ref())
            .with_secret(self.secret.as_deref());
        let client = ControlClient::new(access.control()?.to_vec(), access.secret()?);
        let manifest = load_manifest(path)?;
        let accepted = client.apply(&ApplyRequest { manifest }).await?;
        let report = self.report(&client, accepted).await;
        OutputFormat::from_flag(self.json).print(&report);
        Ok(report.exit_status())
    }

    async fn report(&self, client: &ControlClient, accepted: ApplyReply) -> ApplyReport {
        if !self.wait {
            return ApplyReport {
                accepted,
                waited_millis: None,
                in_force: None,
            };
        }
        let clock = ProcessClock::new();
        let limit = SpanMillis::new(self.timeout_seconds.saturating_mul(MILLIS_PER_SECOND));
        let in_force = wait_until_in_force(client, accepted.revision, clock, limit).await;
        ApplyReport {
            accepted,
            waited_millis: Some(clock.now().since(ClockMillis::ORIGIN).millis()),
            in_force: Some(in_force),
        }
    }
}

/// Polls the balancers until all have `revision` in force or `limit` has passed.
async fn wait_until_in_force(
    client: &ControlClient,
    revision: FeedRevision,
    clock: ProcessClock,
    limit: SpanMillis,
) -> InForceReport {
    let end = clock.now().after(limit);
    loop {
        let watchers = GroupWatchers::query(client).await;
        let report = InForceReport::new(&watchers, revision);
        if report.everywhere || clock.now() >= end {
            return report;
        }
        tokio::time::sleep(POLL_MILLIS.duration()).await;
    }
}

impl ApplyReport {
    /// Fails when an accepted manifest is not in force everywhere in time.
    fn exit_status(&self) -> ExitStatus {
        match &self.in_force {
            Some(report) if !report.everywhere => ExitStatus::Failed,
            _ => ExitStatus::Success,
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
