use std::{
    collections::BTreeMap,
    fmt,
    path::{Path, PathBuf},
};

use gumdrop::Options;
use serde::Serialize;

use crate::{
    cli::{CliError, OutputFormat, UsageError},
    manifest::{Manifest, ManifestDigest, ManifestError, ManifestText},
    program::ExitStatus,
};

/// The options of `cyclamen check`.
#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    #[options(help = "print this text")]
    help: bool,
    /// Prints the report as JSON.
    #[options(no_short, help = "write the report as JSON")]
    pub(crate) json: bool,
    /// The manifest file.
    #[options(free, help = "the manifest file")]
    file: Option<PathBuf>,
}

/// The result of validating a manifest.
#[derive(Debug, Serialize)]
struct CheckReport {
    file: PathBuf,
    valid: bool,
    version: Option<u64>,
    services: Option<usize>,
    digest: Option<ManifestDigest>,
    shared_ports: BTreeMap<u16, Vec<String>>,
    faults: Vec<FaultEntry>,
}

/// One fault of the manifest, with line and column if the JSON could not be parsed.
#[derive(Debug, Serialize)]
struct FaultEntry {
    place: String,
    line: Option<usize>,
    column: Option<usize>,
    message: String,
}

impl CheckOptions {
    /// Validates the manifest without any network access.
    pub(crate) fn run(&self) -> Result<ExitStatus, CliError> {
        let path = self
            .file
            .as_ref()
            .ok_or(UsageError::Missing { name: "FILE" })?;
        let report = match load_manifest(path) {
            Ok(manifest) => CheckReport::valid(path, &manifest),
            Err(CliError::Manifest { cause, .. }) => CheckReport::invalid(path, cause)?,
            Err(error) => return Err(error),
        };
        let status = if report.valid {
            ExitStatus::Success
        } else {
            ExitStatus::Failed
        };
        OutputFormat::from_flag(self.json).print(&report);
        Ok(status)
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

impl CheckReport {
    fn valid(path: &Path, manifest: &Manifest) -> Self {
        let shared_ports = manifest
            .shared_ports()
            .into_iter()
            .map(|(port, names)| (port, names.into_iter().map(str::to_owned).collect()))
            .collect();
        Self {
            file: path.to_owned(),
            valid: true,
            version: Some(manifest.version),
            services: Some(manifest.services.len()),
            digest: Some(manifest.digest()),
            shared_ports,
            faults: Vec::new(),
        }
    }

    /// Reports the faults in the document; fails when it could not be read.
    fn invalid(path: &Path, error: ManifestError) -> Result<Self, CliError> {
        let faults = match error {
            ManifestError::Invalid { faults } => faults
                .into_iter()
                .map(|fault| FaultEntry {
                    place: fault.place,
                    line: None,
                    column: None,
                    message: fault.cause.to_string(),
                })
                .collect(),
            ManifestError::Malformed {
                place,
                line,
                column,
                message,
            } => vec![FaultEntry {
                place,
                line: Some(line),
                column: Some(column),
                message,
            }],
            cause @ (ManifestError::Unreadable(_) | ManifestError::TooLarge) => {
                let path = path.to_owned();
                return Err(CliError::Manifest { path, cause });
            }
        };
        Ok(Self {
            file: path.to_owned(),
            valid: false,
            version: None,
            services: None,
            digest: None,
            shared_ports: BTreeMap::new(),
            faults,
        })
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        if let (Some(version), Some(services)) = (self.version, self.services) {
            writeln!(
                formatter,
                "{file}: version {version}, {services} services, valid"
            )?;
        } else {
            writeln!(formatter, "{file}: invalid, {} faults", self.faults.len())?;
        }
        for fault in &self.faults {
            write!(formatter, "  `{}`", fault.place)?;
            if let (Some(line), Some(column)) = (fault.line, fault.column) {
                write!(formatter, ", line {line}, column {column}")?;
            }
            writeln!(formatter, ": {}", fault.message)?;
        }
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
