use std::{
    collections::BTreeMap,
    fmt,
    path::{Path, PathBuf},
};

use gumdrop::Options;
use serde::Serialize;

use crate::{
    check::{CheckEntry, CheckReport, DocumentDiff},
    cli::{CliError, OutputFormat, UsageError},
    manifest::{
        Manifest, ManifestDigest, ManifestError, ManifestFault, ManifestFinding, ManifestReview,
        ManifestText,
    },
    program::ExitStatus,
};

/// The fields that tell the entries of a manifest's lists apart.
const IDENTIFIERS: &[&str] = &["name"];

/// The options of `cyclamen check`.
#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    #[options(help = "print this text")]
    help: bool,
    /// Prints the report as JSON.
    #[options(no_short, help = "write the report as JSON")]
    pub(crate) json: bool,
    /// The manifest in force.
    #[options(
        no_short,
        meta = "FILE",
        help = "compare with the manifest in force, from FILE"
    )]
    in_force: Option<PathBuf>,
    /// The manifest file.
    #[options(free, help = "the manifest file")]
    file: Option<PathBuf>,
}

/// The result of checking a manifest.
#[derive(Debug, Serialize)]
struct ManifestReport {
    #[serde(flatten)]
    report: CheckReport,
    digest: Option<ManifestDigest>,
    shared_ports: BTreeMap<u16, Vec<String>>,
}

impl CheckOptions {
    /// Checks the manifest without any network access.
    pub(crate) fn run(&self) -> Result<ExitStatus, CliError> {
        let path = self
            .file
            .as_ref()
            .ok_or(UsageError::Missing { name: "FILE" })?;
        let in_force = self.in_force.as_deref().map(load_manifest).transpose()?;
        let report = match load_manifest(path) {
            Ok(manifest) => ManifestReport::valid(path, &manifest, in_force.as_ref())?,
            Err(CliError::Manifest { cause, .. }) => ManifestReport::invalid(path, cause)?,
            Err(error) => return Err(error),
        };
        OutputFormat::from_flag(self.json).print(&report);
        Ok(report.report.status())
    }
}

/// Loads and validates the manifest file at `path`.
pub(super) fn load_manifest(path: &Path) -> Result<Manifest, CliError> {
    ManifestText::load(path)
        .and_then(|text| text.parse())
        .map_err(|cause| CliError::Manifest {
            path: path.to_owned(),
            cause,
        })
}

impl ManifestReport {
    fn valid(
        path: &Path,
        manifest: &Manifest,
        in_force: Option<&Manifest>,
    ) -> Result<Self, CliError> {
        let mut review = ManifestReview::new(manifest);
        let mut report = CheckReport::new(path, manifest.version, manifest.services.len());
        if let Some(in_force) = in_force {
            review = review.with_version_in_force(in_force.version);
            let value = |manifest| {
                serde_json::to_value(manifest).map_err(|error| CliError::Manifest {
                    path: path.to_owned(),
                    cause: ManifestError::Unreadable(error.into()),
                })
            };
            let diff = DocumentDiff::new(IDENTIFIERS);
            report = report.with_changes(diff.compare(&value(in_force)?, &value(manifest)?));
        }
        let findings = review.findings();
        let shared_ports = manifest
            .shared_ports()
            .into_iter()
            .map(|(port, names)| (port, names.into_iter().map(str::to_owned).collect()))
            .collect();
        Ok(Self {
            report: report.with_warnings(findings.iter().map(ManifestFinding::warning).collect()),
            digest: Some(manifest.digest()),
            shared_ports,
        })
    }

    /// Reports the faults in the document; fails when it could not be read.
    fn invalid(path: &Path, error: ManifestError) -> Result<Self, CliError> {
        let faults = match error {
            ManifestError::Invalid { faults } => faults
                .into_iter()
                .map(|ManifestFault { place, cause }| CheckEntry::new(place, cause))
                .collect(),
            ManifestError::Malformed {
                place,
                line,
                column,
                message,
            } => vec![CheckEntry::new(place, message).with_position(line, column)],
            cause @ (ManifestError::Unreadable(_) | ManifestError::TooLarge) => {
                let path = path.to_owned();
                return Err(CliError::Manifest { path, cause });
            }
        };
        Ok(Self {
            report: CheckReport::invalid(path, faults),
            digest: None,
            shared_ports: BTreeMap::new(),
        })
    }
}

impl fmt::Display for ManifestReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.report.fmt(formatter)?;
        for (port, names) in &self.shared_ports {
            writeln!(
                formatter,
                "  note: port {port} is shared by {}; a balancer with `listen_ip` can't serve them",
                names.join(", ")
            )?;
        }
        Ok(())
    }
}
