use std::{
    fs,
    os::unix::fs::PermissionsExt,
    path::{Path, PathBuf},
    time::SystemTime,
};

use rustls::{crypto::ring, sign::CertifiedKey};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use serde::{Deserialize, Serialize};

use super::TlsError;

/// Permission bits of group and others.
const FOREIGN_MODE: u32 = 0o077;

/// Where a certificate chain and its key lie; part of the agent's settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CertificateFiles {
    /// The PEM file of the chain, the server's own certificate first.
    pub certificate: PathBuf,
    /// The PEM file of the key; only its owner may read it.
    pub key: PathBuf,
}

impl CertificateFiles {
    /// Names the two files.
    #[must_use]
    pub fn new(certificate: impl Into<PathBuf>, key: impl Into<PathBuf>) -> Self {
        Self {
            certificate: certificate.into(),
            key: key.into(),
        }
    }

    /// Reads both files and verifies that they fit together.
    ///
    /// # Errors
    ///
    /// Fails when a file is unreadable or malformed, when others may read the
    /// key, or when the key is not the certificate's.
    pub fn load(&self) -> Result<CertifiedKey, TlsError> {
        let chain = read_certificates(&self.certificate)?;
        let key = self.read_key()?;
        let provider = ring::default_provider();
        CertifiedKey::from_der(chain, key, &provider).map_err(|cause| TlsError::Mismatch {
            certificate: self.certificate.clone(),
            key: self.key.clone(),
            cause,
        })
    }

    /// Returns when each file was last changed, to notice a replacement.
    pub(super) fn changed_at(&self) -> [Option<SystemTime>; 2] {
        [&self.certificate, &self.key]
            .map(|path| fs::metadata(path).and_then(|data| data.modified()).ok())
    }

    fn read_key(&self) -> Result<PrivateKeyDer<'static>, TlsError> {
        let metadata = fs::metadata(&self.key).map_err(|cause| unreadable(&self.key, cause))?;
        let mode = metadata.permissions().mode() & 0o777;
        if mode & FOREIGN_MODE != 0 {
            return Err(TlsError::Exposed {
                path: self.key.clone(),
                mode,
            });
        }
        let bytes = fs::read(&self.key).map_err(|cause| unreadable(&self.key, cause))?;
        PrivateKeyDer::from_pem_slice(&bytes).map_err(|cause| TlsError::Malformed {
            path: self.key.clone(),
            wanted: "private key",
            cause,
        })
    }
}

/// Reads every certificate of a PEM file, at least one.
pub(super) fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let malformed = |cause| TlsError::Malformed {
        path: path.to_owned(),
        wanted: "certificate",
        cause,
    };
    let bytes = fs::read(path).map_err(|cause| unreadable(path, cause))?;
    let chain: Vec<CertificateDer<'static>> = CertificateDer::pem_slice_iter(&bytes)
        .collect::<Result<_, _>>()
        .map_err(malformed)?;
    if chain.is_empty() {
        return Err(malformed(rustls_pki_types::pem::Error::NoItemsFound));
    }
    Ok(chain)
}

fn unreadable(path: &Path, cause: std::io::Error) -> TlsError {
    TlsError::Unreadable {
        path: path.to_owned(),
        cause,
    }
}
