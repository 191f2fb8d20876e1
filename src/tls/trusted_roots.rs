use std::path::Path;

use rustls::RootCertStore;

use super::{TlsError, certificate_files::read_certificates};

/// The root certificates that a client trusts.
#[derive(Debug, Clone)]
pub struct TrustedRoots {
    roots: RootCertStore,
}

impl TrustedRoots {
    /// Trusts the certificates of the PEM file at `path` and no others.
    ///
    /// # Errors
    ///
    /// Fails when the file is unreadable or holds no usable certificate.
    pub fn load(path: &Path) -> Result<Self, TlsError> {
        let mut roots = RootCertStore::empty();
        for certificate in read_certificates(path)? {
            roots
                .add(certificate)
                .map_err(|cause| TlsError::InvalidRoot {
                    path: path.to_owned(),
                    cause,
                })?;
        }
        Ok(Self { roots })
    }

    pub(super) fn into_roots(self) -> RootCertStore {
        self.roots
    }
}
