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

use super::{ControlService, register_methods, run_lease_driver};
use crate::{
    clock::SpanMillis,
    control::api::{MAX_REPLY_BYTES, MAX_REQUEST_BYTES},
    proof::ServerProofLayer,
    secret::SecretStore,
};

/// The timeout for the first call on a new connection.
const FIRST_CALL_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(10_000);
/// The time for calls in progress to finish when the server stops.
const STOP_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// The maximum number of concurrent calls at the HTTP server, including waiting ones.
const MAX_OPEN_CALLS: u32 = 40_960;

/// Why the server of a control replica could not start.
#[derive(Debug, Error, Diagnostic)]
pub enum ServerError {
    /// The server can't listen on its address.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address from the settings.
        address: SocketAddrV4,
        /// The error of the operating system.
        #[source]
        cause: io::Error,
    },
    /// Two methods have the same name.
    #[error("cannot register the JSON-RPC methods: {0}")]
    Methods(#[from] RegisterMethodError),
}

/// A running server; it stops when it is dropped.
#[derive(Debug)]
pub(crate) struct ControlServer {
    handle: ServerHandle,
    lease_driver: JoinHandle<()>,
}

impl ControlServer {
    /// Binds `address`; port 0 selects a free port.
    pub(crate) fn bind(address: SocketAddrV4) -> Result<(TcpListener, SocketAddrV4), ServerError> {
        let listen_error = |cause| ServerError::Listen { address, cause };
        let listener = TcpListener::bind(address).map_err(listen_error)?;
        listener.set_nonblocking(true).map_err(listen_error)?;
        match listener.local_addr().map_err(listen_error)? {
            SocketAddr::V4(bound) => Ok((listener, bound)),
            SocketAddr::V6(_) => Err(listen_error(io::ErrorKind::AddrNotAvailable.into())),
        }
    }

    /// Starts to serve calls on `listener`; requires a Tokio runtime.
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
            .max_connections(MAX_OPEN_CALLS)
            .max_request_body_size(to_u32(MAX_REQUEST_BYTES))
            .max_response_body_size(to_u32(MAX_REPLY_BYTES))
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .set_first_request_timeout(Some(FIRST_CALL_TIMEOUT_MILLIS.duration()))
            .build();
        let layer = ServerProofLayer::new(secret, MAX_REQUEST_BYTES);
        let server = Server::builder()
            .set_config(config)
            .set_http_middleware(tower::ServiceBuilder::new().layer(layer))
            .build_from_tcp(listener)
            .map_err(|cause| ServerError::Listen { address, cause })?;
        Ok(Self {
            handle: server.start(methods),
            lease_driver: tokio::spawn(run_lease_driver(service)),
        })
    }

    /// Stops accepting calls and waits a limited time for those in progress.
    pub(crate) async fn stop(self) {
        self.lease_driver.abort();
        // An error only means that the server has already stopped.
        let _ = self.handle.stop();
        let stopped = self.handle.stopped();
        // Watch calls that still wait are aborted; the watchers fail over.
        let _ = timeout(STOP_TIMEOUT_MILLIS.duration(), stopped).await;
    }
}

fn to_u32(bytes: usize) -> u32 {
    u32::try_from(bytes).unwrap_or(u32::MAX)
}
