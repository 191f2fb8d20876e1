use std::{io, path::PathBuf};

use miette::Diagnostic;
use thiserror::Error;

/// Why a certificate, a key or a TLS configuration is unusable.
#[derive(Debug, Error, Diagnostic)]
pub enum TlsError {
    /// A file could not be read.
    #[error("cannot read {path}: {cause}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        #[source]
        cause: io::Error,
    },
    /// Group or others have permissions on the key file.
    #[error("the key file {path} has mode {mode:03o}; allowed: 600 or 400")]
    InsecurePermissions {
        /// The key file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// A file is not PEM, or has no item of the expected kind.
    #[error("{path} has no usable PEM {expected}: {cause}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The kind of PEM item that was expected.
        expected: &'static str,
        /// The error of the PEM decoder.
        #[source]
        cause: rustls_pki_types::pem::Error,
    },
    /// The certificate and the key can't be used together.
    #[error("the certificate {certificate} and the key {key} can't be used together: {cause}")]
    Mismatch {
        /// The certificate file.
        certificate: PathBuf,
        /// The key file.
        key: PathBuf,
        /// The error of the TLS library.
        #[source]
        cause: rustls::Error,
    },
    /// A certificate can't be used as a root.
    #[error("{path} has a certificate that can't be used as a root: {cause}")]
    InvalidRoot {
        /// The file.
        path: PathBuf,
        /// The error of the TLS library.
        #[source]
        cause: rustls::Error,
    },
    /// The TLS library rejected the protocol versions.
    #[error("the TLS library rejected the protocol versions: {0}")]
    Protocol(#[source] rustls::Error),
    /// A test certificate could not be generated.
    #[error("cannot generate a test certificate: {0}")]
    Generation(#[source] rcgen::Error),
    /// A file could not be written.
    #[error("cannot write {path}: {cause}")]
    Unwritable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        #[source]
        cause: io::Error,
    },
}
