use std::{
    io,
    sync::{Arc, atomic::AtomicU32},
};

use miette::Diagnostic;
use quinn::{
    Endpoint, EndpointConfig, IdleTimeout, MtuDiscoveryConfig, ServerConfig, TokioRuntime,
    TransportConfig, VarInt,
    crypto::rustls::{NoInitialCipherSuite, QuicServerConfig},
};
use thiserror::Error;

use super::{EpochResetKey, RouteIdGenerator, TunnelSocket};
use crate::{
    clock::SpanMillis,
    secret::SecretStore,
    tls::{CertificateStore, TlsError, server_config},
};

/// The idle timeout of a connection.
const IDLE_TIMEOUT_MILLIS: u32 = 15_000;
/// The interval of keep-alive packets.
const KEEP_ALIVE_MILLIS: SpanMillis = SpanMillis::new(4_000);
/// The upper bound of MTU discovery: Ethernet's 1500 bytes less the IP and UDP
/// headers (28) and the tunnel header (20) between balancer and agent.
const MAX_DATAGRAM_BYTES: u16 = 1_452;
/// The most concurrent requests of one connection.
const MAX_STREAMS: u32 = 256;
/// The minimum interval between two stateless resets.
const RESET_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(1);
/// The most connection attempts that are neither accepted nor refused yet.
const MAX_INCOMING: usize = 1_024;

/// Why the QUIC endpoint could not be opened.
#[derive(Debug, Error, Diagnostic)]
pub enum EndpointError {
    /// The certificate or the TLS settings are invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tls(#[from] TlsError),
    /// The TLS settings lack the cipher suite of Initial packets.
    #[error("the TLS settings do not suit QUIC: {0}")]
    Cipher(#[from] NoInitialCipherSuite),
    /// The endpoint could not be created on the socket.
    #[error("cannot open the endpoint: {0}")]
    Open(#[from] io::Error),
}

/// Opens the QUIC endpoint on the tunnel.
///
/// # Errors
///
/// Fails when the TLS settings are unusable or the endpoint can't be created.
pub(crate) fn open_endpoint(
    socket: Arc<TunnelSocket>,
    secret: SecretStore,
    certificates: CertificateStore,
    connection_id_lifetime: SpanMillis,
) -> Result<Endpoint, EndpointError> {
    let identity = socket.identity();
    let nonce = Arc::new(AtomicU32::new(0));
    let mut config = EndpointConfig::new(Arc::new(EpochResetKey::new(secret.clone())));
    config.cid_generator(move || {
        let generator = RouteIdGenerator::new(
            identity,
            secret.clone(),
            connection_id_lifetime,
            Arc::clone(&nonce),
        );
        Box::new(generator)
    });
    config.min_reset_interval(RESET_INTERVAL_MILLIS.duration());
    let tls = QuicServerConfig::try_from(server_config(certificates)?)?;
    let mut server = ServerConfig::with_crypto(Arc::new(tls));
    server.transport_config(Arc::new(transport_config()));
    server.max_incoming(MAX_INCOMING);
    let endpoint =
        Endpoint::new_with_abstract_socket(config, Some(server), socket, Arc::new(TokioRuntime))?;
    Ok(endpoint)
}

fn transport_config() -> TransportConfig {
    let mut mtu = MtuDiscoveryConfig::default();
    mtu.upper_bound(MAX_DATAGRAM_BYTES);
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(
            IDLE_TIMEOUT_MILLIS,
        ))))
        .keep_alive_interval(Some(KEEP_ALIVE_MILLIS.duration()))
        .mtu_discovery_config(Some(mtu))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    transport
}
