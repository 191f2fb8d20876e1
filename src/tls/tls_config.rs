use std::sync::Arc;

use rustls::{ClientConfig, ServerConfig, crypto::ring, version::TLS13};

use super::{CertificateStore, TlsError, TrustedRoots};

/// The ALPN protocol ID of HTTP/3.
const HTTP3_PROTOCOL: &[u8] = b"h3";

/// Returns the TLS configuration of an HTTP/3 server with the certificate of
/// `store`.
///
/// 0-RTT (early data) is disabled, since it can be replayed.
///
/// # Errors
///
/// Fails when rustls rejects the protocol versions.
pub fn server_config(store: CertificateStore) -> Result<ServerConfig, TlsError> {
    let mut config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(&[&TLS13])
        .map_err(TlsError::Protocol)?
        .with_no_client_auth()
        .with_cert_resolver(Arc::new(store));
    config.alpn_protocols = vec![HTTP3_PROTOCOL.to_vec()];
    config.max_early_data_size = 0;
    Ok(config)
}

/// Returns the TLS configuration of an HTTP/3 client with the roots of `trusted_roots`.
///
/// # Errors
///
/// Fails when rustls rejects the protocol versions.
pub fn client_config(trusted_roots: TrustedRoots) -> Result<ClientConfig, TlsError> {
    let mut config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(&[&TLS13])
        .map_err(TlsError::Protocol)?
        .with_root_certificates(trusted_roots.into_roots())
        .with_no_client_auth();
    config.alpn_protocols = vec![HTTP3_PROTOCOL.to_vec()];
    Ok(config)
}
