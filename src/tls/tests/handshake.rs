//! Whole handshakes in memory, without a socket.

use std::sync::Arc;

use rustls::{ClientConnection, Error, ServerConnection};
use rustls_pki_types::ServerName;

use super::write_files;
use crate::tls::{CertificateStore, ServerTrust, client_config, server_config};

/// Moves handshake bytes between the two ends until neither has any.
fn shake_hands(client: &mut ClientConnection, server: &mut ServerConnection) -> Result<(), Error> {
    while client.is_handshaking() || server.is_handshaking() {
        let mut bytes = Vec::new();
        client.write_tls(&mut bytes).expect("memory");
        server.read_tls(&mut bytes.as_slice()).expect("memory");
        server.process_new_packets()?;
        bytes.clear();
        server.write_tls(&mut bytes).expect("memory");
        client.read_tls(&mut bytes.as_slice()).expect("memory");
        client.process_new_packets()?;
    }
    Ok(())
}

fn handshake_for(name: &'static str) -> Result<Option<Vec<u8>>, Error> {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let files = write_files(&folder);
    let store = CertificateStore::new(files).expect("a good pair");
    let trust = ServerTrust::load(&folder.path().join("root.pem")).expect("a root");
    let server = server_config(store).expect("good settings");
    let client = client_config(trust).expect("good settings");
    let name = ServerName::try_from(name).expect("a server name");
    let mut client = ClientConnection::new(Arc::new(client), name)?;
    let mut server = ServerConnection::new(Arc::new(server))?;
    shake_hands(&mut client, &mut server)?;
    Ok(client.alpn_protocol().map(<[u8]>::to_vec))
}

#[test]
fn both_ends_agree_on_http3() {
    assert_eq!(handshake_for("logbook"), Ok(Some(b"h3".to_vec())));
}

#[test]
fn another_service_name_is_refused_by_the_caller() {
    assert!(matches!(
        handshake_for("barge-control"),
        Err(Error::InvalidCertificate(_))
    ));
}
