use std::{io, path::PathBuf};

use miette::Diagnostic;
use thiserror::Error;

/// Why a certificate or key was refused.
#[derive(Debug, Error, Diagnostic)]
pub enum TlsError {
    /// A file could not be read.
    #[error("cannot read {path}: {cause}")]
    Unreadable {
        /// The file that was asked for.
        path: PathBuf,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
    /// Others than the owner may read the key.
    #[error("the key file {path} has mode {mode:03o}; allowed: 600 or 400")]
    Exposed {
        /// The key file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// A file is no PEM, or holds nothing of the wanted kind.
    #[error("{path} holds no usable PEM {wanted}: {cause}")]
    Malformed {
        /// The file that was read.
        path: PathBuf,
        /// What the file should hold.
        wanted: &'static str,
        /// What the decoder met.
        #[source]
        cause: rustls_pki_types::pem::Error,
    },
    /// The certificate and the key can't be used together.
    #[error("the certificate {certificate} and the key {key} don't fit: {cause}")]
    Mismatch {
        /// The certificate file.
        certificate: PathBuf,
        /// The key file.
        key: PathBuf,
        /// What the TLS library met.
        #[source]
        cause: rustls::Error,
    },
    /// A certificate can't serve as a root of trust.
    #[error("{path} holds a certificate that can't be trusted: {cause}")]
    Untrusted {
        /// The file that was read.
        path: PathBuf,
        /// What the TLS library met.
        #[source]
        cause: rustls::Error,
    },
    /// The TLS library refused the protocol settings.
    #[error("the TLS library refused the protocol settings: {0}")]
    Protocol(#[source] rustls::Error),
    /// No test certificate could be made.
    #[error("cannot make a test certificate: {0}")]
    Generation(#[source] rcgen::Error),
    /// A file could not be written.
    #[error("cannot write {path}: {cause}")]
    Unwritable {
        /// The file that was to be written.
        path: PathBuf,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
}
