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

/// The time without any packet after which a connection is gone.
const IDLE_MILLIS: u32 = 15_000;
/// How often the agent keeps an open connection alive.
const KEEP_ALIVE_MILLIS: SpanMillis = SpanMillis::new(4_000);
/// The largest datagram that is tried: Ethernet's 1500 bytes less IP and UDP
/// (28) and the tunnel's header (20) on the way between balancer and agent.
const LARGEST_DATAGRAM_BYTES: u16 = 1_452;
/// Requests that one connection may have open at once.
const MOST_STREAMS: u32 = 256;
/// The least time between two stateless resets.
const RESET_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(1);
/// Connections whose handshake has not been looked at yet.
const MOST_INCOMING: usize = 1_024;

/// Why the QUIC endpoint could not be opened.
#[derive(Debug, Error, Diagnostic)]
pub enum EndpointError {
    /// The certificate or the TLS settings were refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tls(#[from] TlsError),
    /// The TLS settings have no cipher for first packets.
    #[error("the TLS settings do not suit QUIC: {0}")]
    Cipher(#[from] NoInitialCipherSuite),
    /// The runtime refused the socket.
    #[error("cannot open the endpoint: {0}")]
    Open(#[from] io::Error),
}

/// Opens the QUIC endpoint on the tunnel.
///
/// # Errors
///
/// Fails when the TLS settings are unusable.
pub(crate) fn open_endpoint(
    socket: Arc<TunnelSocket>,
    secret: SecretStore,
    certificates: CertificateStore,
    id_life: SpanMillis,
) -> Result<Endpoint, EndpointError> {
    let identity = socket.identity();
    let nonce = Arc::new(AtomicU32::new(0));
    let mut config = EndpointConfig::new(Arc::new(EpochResetKey::new(secret.clone())));
    config.cid_generator(move || {
        let generator =
            RouteIdGenerator::new(identity, secret.clone(), id_life, Arc::clone(&nonce));
        Box::new(generator)
    });
    config.min_reset_interval(RESET_INTERVAL_MILLIS.duration());
    let tls = QuicServerConfig::try_from(server_config(certificates)?)?;
    let mut server = ServerConfig::with_crypto(Arc::new(tls));
    server.transport_config(Arc::new(transport_config()));
    server.max_incoming(MOST_INCOMING);
    let endpoint =
        Endpoint::new_with_abstract_socket(config, Some(server), socket, Arc::new(TokioRuntime))?;
    Ok(endpoint)
}

fn transport_config() -> TransportConfig {
    let mut mtu = MtuDiscoveryConfig::default();
    mtu.upper_bound(LARGEST_DATAGRAM_BYTES);
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_MILLIS))))
        .keep_alive_interval(Some(KEEP_ALIVE_MILLIS.duration()))
        .mtu_discovery_config(Some(mtu))
        .max_concurrent_bidi_streams(VarInt::from_u32(MOST_STREAMS));
    transport
}
