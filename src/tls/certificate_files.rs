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

/// The permission bits of group and others.
const NON_OWNER_MODE_BITS: u32 = 0o077;

/// The paths of a certificate chain and its private key; part of the agent's
/// settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CertificateFiles {
    /// The PEM file of the chain, the server's own certificate first.
    pub certificate: PathBuf,
    /// The PEM file of the private key; only its owner may have permissions on it.
    pub key: PathBuf,
}

impl CertificateFiles {
    /// Creates the paths; reads nothing.
    #[must_use]
    pub fn new(certificate: impl Into<PathBuf>, key: impl Into<PathBuf>) -> Self {
        Self {
            certificate: certificate.into(),
            key: key.into(),
        }
    }

    /// Reads both files and checks that the key belongs to the certificate.
    ///
    /// # Errors
    ///
    /// Fails when a file is unreadable or malformed, when group or others have
    /// any permission on the key, or when the key is not the certificate's.
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

    /// Returns the modification time of each file, to detect a change.
    pub(super) fn modified_at(&self) -> [Option<SystemTime>; 2] {
        [&self.certificate, &self.key].map(|path| {
            fs::metadata(path)
                .and_then(|metadata| metadata.modified())
                .ok()
        })
    }

    fn read_key(&self) -> Result<PrivateKeyDer<'static>, TlsError> {
        let metadata = fs::metadata(&self.key).map_err(|cause| unreadable(&self.key, cause))?;
        let mode = metadata.permissions().mode() & 0o777;
        if mode & NON_OWNER_MODE_BITS != 0 {
            return Err(TlsError::InsecurePermissions {
                path: self.key.clone(),
                mode,
            });
        }
        let bytes = fs::read(&self.key).map_err(|cause| unreadable(&self.key, cause))?;
        PrivateKeyDer::from_pem_slice(&bytes).map_err(|cause| TlsError::Malformed {
            path: self.key.clone(),
            expected: "private key",
            cause,
        })
    }
}

/// Reads all certificates of a PEM file; fails when there is none.
pub(super) fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let malformed = |cause| TlsError::Malformed {
        path: path.to_owned(),
        expected: "certificate",
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
