use std::{
    fmt,
    path::{Path, PathBuf},
};

use serde::Serialize;

use super::{CheckEntry, DocumentChange};
use crate::{cli::OutputFormat, program::ExitStatus};

/// The result of checking a configuration.
#[derive(Debug, Serialize)]
pub struct CheckReport {
    file: PathBuf,
    valid: bool,
    version: Option<u64>,
    services: Option<usize>,
    faults: Vec<CheckEntry>,
    warnings: Vec<CheckEntry>,
    /// What differs from the configuration in force; absent if none was given.
    changes: Option<Vec<DocumentChange>>,
}

impl CheckReport {
    /// Creates the report of a valid configuration.
    #[must_use]
    pub fn new(file: &Path, version: u64, services: usize) -> Self {
        Self {
            file: file.to_owned(),
            valid: true,
            version: Some(version),
            services: Some(services),
            faults: Vec::new(),
            warnings: Vec::new(),
            changes: None,
        }
    }

    /// Creates the report of an invalid configuration.
    #[must_use]
    pub fn invalid(file: &Path, faults: Vec<CheckEntry>) -> Self {
        Self {
            file: file.to_owned(),
            valid: false,
            version: None,
            services: None,
            faults,
            warnings: Vec::new(),
            changes: None,
        }
    }

    /// Returns the report with warnings.
    #[must_use]
    pub fn with_warnings(self, warnings: Vec<CheckEntry>) -> Self {
        Self { warnings, ..self }
    }

    /// Returns the report with the differences from the configuration in force.
    #[must_use]
    pub fn with_changes(self, changes: Vec<DocumentChange>) -> Self {
        Self {
            changes: Some(changes),
            ..self
        }
    }

    /// Returns the exit status that tells clean, warnings and invalid apart.
    #[must_use]
    pub fn status(&self) -> ExitStatus {
        match (self.valid, self.warnings.is_empty()) {
            (false, _) => ExitStatus::Failed,
            (true, false) => ExitStatus::Warned,
            (true, true) => ExitStatus::Success,
        }
    }

    /// Writes the report to standard output, as text or JSON.
    pub fn print(&self, json: bool) {
        OutputFormat::from_flag(json).print(self);
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
            writeln!(formatter, "  {fault}")?;
        }
        for warning in &self.warnings {
            writeln!(formatter, "  warning: {warning}")?;
        }
        match self.changes.as_deref() {
            None => Ok(()),
            Some([]) => writeln!(formatter, "  no change from the version in force"),
            Some(changes) => changes
                .iter()
                .try_for_each(|change| writeln!(formatter, "  change: {change}")),
        }
    }
}
