use std::{fmt, path::PathBuf};

use gumdrop::Options;
use serde::Serialize;

use crate::{
    cli::{AddressList, CliError, GroupWatchers, InForceReport, OperatorAccess, OutputFormat},
    control::{api::ControlStatus, client::ControlClient},
    program::ExitStatus,
};

/// The options of `cyclamen status`.
#[derive(Debug, Options)]
pub(crate) struct StatusOptions {
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
}

/// The state of the control group and the rollout of its manifest.
#[derive(Debug, Serialize)]
struct StatusReport {
    status: ControlStatus,
    /// `None` before the first manifest was accepted.
    manifest_in_force: Option<InForceReport>,
}

impl StatusOptions {
    /// Prints the state of the group and where the manifest is in force.
    pub(crate) async fn run(&self, settings: Option<PathBuf>) -> Result<ExitStatus, CliError> {
        let settings = self.settings.clone().or(settings);
        let access = OperatorAccess::new(settings.as_deref())?
            .with_control(self.control.as_ref())
            .with_secret(self.secret.as_deref());
        let client = ControlClient::new(access.control()?.to_vec(), access.secret()?);
        let status = client.status().await?;
        let watchers = GroupWatchers::query(&client).await;
        let report = StatusReport {
            manifest_in_force: InForceReport::of_manifest(&watchers, &status),
            status,
        };
        OutputFormat::from_flag(self.json).print(&report);
        Ok(ExitStatus::Success)
    }
}

impl fmt::Display for StatusReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = &self.status;
        match &status.manifest_digest {
            Some(digest) => writeln!(
                formatter,
                "manifest version {} ({digest}), accepted at {}",
                status.manifest_version, status.manifest_revision
            )?,
            None => writeln!(formatter, "no manifest was accepted yet")?,
        }
        writeln!(
            formatter,
            "{} services, {} targets, state {}",
            status.services, status.targets, status.revision
        )?;
        for replica in &status.replicas {
            writeln!(
                formatter,
                "replica {} {:?}, holds {} entries",
                replica.address, replica.role, replica.durable_index
            )?;
        }
        match &self.manifest_in_force {
            Some(in_force) => write!(formatter, "{in_force}"),
            None => Ok(()),
        }
    }
}
