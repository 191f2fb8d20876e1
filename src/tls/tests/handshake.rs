//! Tests of complete TLS handshakes in memory, without a socket.

use std::sync::Arc;

use rustls::{ClientConnection, Error, ServerConnection};
use rustls_pki_types::ServerName;

use super::write_files;
use crate::tls::{CertificateStore, TrustedRoots, client_config, server_config};

/// Passes TLS records between client and server until both finish the
/// handshake.
fn complete_handshake(
    client: &mut ClientConnection,
    server: &mut ServerConnection,
) -> Result<(), Error> {
    while client.is_handshaking() || server.is_handshaking() {
        let mut bytes = Vec::new();
        client.write_tls(&mut bytes).expect("in-memory I/O");
        server
            .read_tls(&mut bytes.as_slice())
            .expect("in-memory I/O");
        server.process_new_packets()?;
        bytes.clear();
        server.write_tls(&mut bytes).expect("in-memory I/O");
        client
            .read_tls(&mut bytes.as_slice())
            .expect("in-memory I/O");
        client.process_new_packets()?;
    }
    Ok(())
}

fn negotiate_alpn(name: &'static str) -> Result<Option<Vec<u8>>, Error> {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let files = write_files(&folder);
    let store = CertificateStore::new(files).expect("a valid certificate and key");
    let trusted_roots =
        TrustedRoots::load(&folder.path().join("root.pem")).expect("a root certificate");
    let server = server_config(store).expect("a valid configuration");
    let client = client_config(trusted_roots).expect("a valid configuration");
    let name = ServerName::try_from(name).expect("a server name");
    let mut client = ClientConnection::new(Arc::new(client), name)?;
    let mut server = ServerConnection::new(Arc::new(server))?;
    complete_handshake(&mut client, &mut server)?;
    Ok(client.alpn_protocol().map(<[u8]>::to_vec))
}

#[test]
fn client_and_server_negotiate_http3() {
    assert_eq!(negotiate_alpn("logbook"), Ok(Some(b"h3".to_vec())));
}

#[test]
fn the_client_rejects_a_certificate_of_another_name() {
    assert!(matches!(
        negotiate_alpn("barge-control"),
        Err(Error::InvalidCertificate(_))
    ));
}
