use std::{
    io,
    net::{SocketAddr, SocketAddrV4, TcpListener},
    sync::Arc,
};

use jsonrpsee::server::{
    BatchRequestConfig, RegisterMethodError, Server, ServerConfig, ServerHandle,
};
use miette::Diagnostic;
use thiserror::Error;
use tokio::{task::JoinHandle, time::timeout};

use super::{ControlService, drive_leases, register_methods};
use crate::{
    clock::SpanMillis,
    control::api::{MOST_REPLY_BYTES, MOST_REQUEST_BYTES},
    proof::ProofLayer,
    secret::SecretStore,
};

/// The time within which a new connection has to bring its first call.
const FIRST_CALL_MILLIS: SpanMillis = SpanMillis::new(10_000);
/// The time that calls in progress are given when the server stops.
const STOP_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// The calls that the HTTP server takes on at once, waiting ones included.
const MOST_OPEN_CALLS: u32 = 40_960;

/// Why the server of a control replica could not start.
#[derive(Debug, Error, Diagnostic)]
pub enum ServerError {
    /// The address can't be listened on.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address from the settings.
        address: SocketAddrV4,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
    /// Two calls have the same name.
    #[error("the calls can't be registered: {0}")]
    Methods(#[from] RegisterMethodError),
}

/// A running server; it stops when it is dropped.
#[derive(Debug)]
pub(crate) struct ControlServer {
    handle: ServerHandle,
    leases: JoinHandle<()>,
}

impl ControlServer {
    /// Binds `address`; port 0 lets the system choose.
    pub(crate) fn bind(address: SocketAddrV4) -> Result<(TcpListener, SocketAddrV4), ServerError> {
        let listen = |cause| ServerError::Listen { address, cause };
        let listener = TcpListener::bind(address).map_err(listen)?;
        listener.set_nonblocking(true).map_err(listen)?;
        match listener.local_addr().map_err(listen)? {
            SocketAddr::V4(bound) => Ok((listener, bound)),
            SocketAddr::V6(_) => Err(listen(io::ErrorKind::AddrNotAvailable.into())),
        }
    }

    /// Answers calls on `listener`; it must be called within the runtime.
    pub(crate) fn start(
        listener: TcpListener,
        service: ControlService,
        secret: SecretStore,
    ) -> Result<Self, ServerError> {
        let address = service.address;
        let service = Arc::new(service);
        let methods = register_methods(Arc::clone(&service))?;
        let config = ServerConfig::builder()
            .http_only()
            .max_connections(MOST_OPEN_CALLS)
            .max_request_body_size(size(MOST_REQUEST_BYTES))
            .max_response_body_size(size(MOST_REPLY_BYTES))
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .set_first_request_timeout(Some(FIRST_CALL_MILLIS.duration()))
            .build();
        let layer = ProofLayer::new(secret, MOST_REQUEST_BYTES);
        let server = Server::builder()
            .set_config(config)
            .set_http_middleware(tower::ServiceBuilder::new().layer(layer))
            .build_from_tcp(listener)
            .map_err(|cause| ServerError::Listen { address, cause })?;
        Ok(Self {
            handle: server.start(methods),
            leases: tokio::spawn(drive_leases(service)),
        })
    }

    /// Refuses new calls and waits for those in progress.
    pub(crate) async fn stop(self) {
        self.leases.abort();
        // A server that stopped already needs no stopping.
        let _ = self.handle.stop();
        let stopped = self.handle.stopped();
        // Waiting watchers are cut off; they go to another replica.
        let _ = timeout(STOP_MILLIS.duration(), stopped).await;
    }
}

fn size(bytes: usize) -> u32 {
    u32::try_from(bytes).unwrap_or(u32::MAX)
}
