use std::{fs, path::Path};

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, ExtendedKeyUsagePurpose, IsCa,
    KeyPair, KeyUsagePurpose,
};

use super::{CertificateFiles, TlsError};
use crate::settings::write_private_file;

/// A server certificate for tests, signed by a root generated along with it.
///
/// The root's private key is discarded, so it can't sign anything else.
#[derive(Debug)]
pub struct TestCertificate {
    /// The server's certificate, as PEM.
    certificate: String,
    /// The server's private key, as PEM.
    key: String,
    /// The root certificate, as PEM.
    root: String,
}

impl TestCertificate {
    /// Generates a certificate that is valid for `names` (DNS names or IP
    /// addresses).
    ///
    /// # Errors
    ///
    /// Fails when a name is not allowed in a certificate.
    pub fn new(names: &[&str]) -> Result<Self, TlsError> {
        let root = generate_root().map_err(TlsError::Generation)?;
        let names: Vec<String> = names.iter().map(ToString::to_string).collect();
        let mut params = CertificateParams::new(names).map_err(TlsError::Generation)?;
        params
            .distinguished_name
            .push(DnType::CommonName, "cyclamen test server");
        params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ServerAuth];
        let key = KeyPair::generate().map_err(TlsError::Generation)?;
        let certificate = params
            .signed_by(&key, &root)
            .map_err(TlsError::Generation)?;
        Ok(Self {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
            root: root.pem(),
        })
    }

    /// Writes `server.pem`, `server.key` and `root.pem` into `folder`.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be written.
    pub fn write(&self, folder: &Path) -> Result<CertificateFiles, TlsError> {
        let files = CertificateFiles::new(folder.join("server.pem"), folder.join("server.key"));
        let unwritable = |path: &Path| {
            let path = path.to_owned();
            move |cause| TlsError::Unwritable { path, cause }
        };
        write_private_file(&files.key, &self.key).map_err(unwritable(&files.key))?;
        fs::write(&files.certificate, &self.certificate).map_err(unwritable(&files.certificate))?;
        let root = folder.join("root.pem");
        fs::write(&root, &self.root).map_err(unwritable(&root))?;
        Ok(files)
    }
}

fn generate_root() -> Result<CertifiedIssuer<'static, KeyPair>, rcgen::Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    params
        .distinguished_name
        .push(DnType::CommonName, "cyclamen test root");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    CertifiedIssuer::self_signed(params, KeyPair::generate()?)
}
