//! Tests of certificates and TLS configuration.

mod handshake;
mod loading;

use super::{CertificateFiles, TestCertificate};

fn write_files(folder: &tempfile::TempDir) -> CertificateFiles {
    TestCertificate::new(&["logbook"])
        .and_then(|certificate| certificate.write(folder.path()))
        .expect("a test certificate")
}
