use std::{fmt, fs, path::PathBuf};

use gumdrop::Options;
use serde::Serialize;

use crate::{
    cli::{CliError, OutputFormat, UsageError},
    program::ExitStatus,
    tls::TestCertificate,
};

/// The options of `cyclamen tls-test-certificate`.
#[derive(Debug, Options)]
pub(crate) struct CertificateOptions {
    #[options(help = "print this text")]
    help: bool,
    /// Prints the report as JSON.
    #[options(no_short, help = "write the report as JSON")]
    pub(crate) json: bool,
    /// The folder where the files are written.
    #[options(
        no_short,
        meta = "FOLDER",
        help = "the folder where the files are written"
    )]
    folder: Option<PathBuf>,
    /// The DNS names in the certificate.
    #[options(free, help = "the DNS names in the certificate")]
    names: Vec<String>,
}

/// The files that were written and the certificate's names.
#[derive(Debug, Serialize)]
struct CertificateReport {
    certificate: PathBuf,
    key: PathBuf,
    root: PathBuf,
    names: Vec<String>,
}

impl CertificateOptions {
    /// Writes a certificate, its key and the root certificate that signed it.
    pub(crate) fn run(&self) -> Result<ExitStatus, CliError> {
        let folder = self
            .folder
            .as_ref()
            .ok_or(UsageError::Missing { name: "--folder" })?;
        if self.names.is_empty() {
            return Err(UsageError::Missing { name: "NAME" }.into());
        }
        let names: Vec<&str> = self.names.iter().map(String::as_str).collect();
        fs::create_dir_all(folder).map_err(|cause| CliError::Unwritable {
            path: folder.clone(),
            cause,
        })?;
        let files = TestCertificate::new(&names)?.write(folder)?;
        let report = CertificateReport {
            certificate: files.certificate,
            key: files.key,
            root: folder.join("root.pem"),
            names: self.names.clone(),
        };
        OutputFormat::from_flag(self.json).print(&report);
        Ok(ExitStatus::Success)
    }
}

impl fmt::Display for CertificateReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "certificate  {}", self.certificate.display())?;
        writeln!(formatter, "key          {}", self.key.display())?;
        write!(formatter, "root         {}", self.root.display())
    }
}
