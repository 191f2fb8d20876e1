//! Certificates and private keys with reload, and the TLS configuration of HTTP/3.

mod certificate_files;
mod certificate_store;
mod test_certificate;
mod tls_config;
mod tls_error;
mod trusted_roots;

pub use certificate_files::CertificateFiles;
pub use certificate_store::CertificateStore;
pub use test_certificate::TestCertificate;
pub use tls_config::{client_config, server_config};
pub use tls_error::TlsError;
pub use trusted_roots::TrustedRoots;

#[cfg(test)]
mod tests;
