use std::net::{SocketAddr, SocketAddrV4};

use jsonrpsee::{
    RpcModule,
    server::{BatchRequestConfig, Server, ServerConfig, ServerHandle},
    types::ErrorObjectOwned,
};

use super::{AdminError, AdminHandlers, AdminMethod, DrainCommand, DrainRequest};
use crate::{proof::ServerProofLayer, secret::SecretStore};

/// The largest request in bytes.
const MAX_REQUEST_BYTES: u32 = 64 * 1024;
/// The largest response in bytes; a dump contains a full route table.
pub(super) const MAX_RESPONSE_BYTES: u32 = 512 * 1024 * 1024;
/// The limit of concurrent connections.
const MAX_CONNECTIONS: u32 = 16;
/// Why registering a method cannot fail.
const UNIQUE_METHOD_NAMES: &str = "method names are distinct";

/// Serves authenticated admin calls over JSON-RPC; stops when dropped.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl AdminServer {
    /// Starts a server on `listen` that answers calls from `handlers`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(
        listen: SocketAddrV4,
        secret: SecretStore,
        handlers: AdminHandlers,
    ) -> Result<Self, AdminError> {
        let listen = SocketAddr::V4(listen);
        let failed = |cause| AdminError::Listen {
            address: listen,
            cause,
        };
        let config = ServerConfig::builder()
            .max_request_body_size(MAX_REQUEST_BYTES)
            .max_response_body_size(MAX_RESPONSE_BYTES)
            .max_connections(MAX_CONNECTIONS)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .http_only()
            .build();
        let body_limit = usize::try_from(MAX_REQUEST_BYTES).unwrap_or(usize::MAX);
        let proof = ServerProofLayer::new(secret, body_limit);
        let server = Server::builder()
            .set_config(config)
            .set_http_middleware(tower::ServiceBuilder::new().layer(proof))
            .build(listen)
            .await
            .map_err(failed)?;
        let address = server.local_addr().map_err(failed)?;
        let handle = server.start(build_rpc_module(handlers));
        Ok(Self { address, handle })
    }

    /// Returns the bound address with its actual port.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting calls and waits until those in progress have finished.
    pub async fn stop(self) {
        // An error means that the server has already stopped.
        let _ = self.handle.stop();
        self.handle.stopped().await;
    }
}

/// Registers the methods of the admin address, which `handlers` answers.
fn build_rpc_module(handlers: AdminHandlers) -> RpcModule<AdminHandlers> {
    let mut module = RpcModule::new(handlers);
    module
        .register_async_method(AdminMethod::Dump.name(), |_, handlers, _| async move {
            handlers.dump().await
        })
        .expect(UNIQUE_METHOD_NAMES);
    module
        .register_async_method(
            AdminMethod::Drain.name(),
            |parameters, handlers, _| async move {
                let request: DrainRequest = parameters.one()?;
                let report = handlers.drain(DrainCommand::Start(request)).await;
                report.map_err(ErrorObjectOwned::from)
            },
        )
        .expect(UNIQUE_METHOD_NAMES);
    module
        .register_async_method(
            AdminMethod::CancelDrain.name(),
            |_, handlers, _| async move { handlers.drain(DrainCommand::Cancel).await },
        )
        .expect(UNIQUE_METHOD_NAMES);
    module
        .register_async_method(
            AdminMethod::DrainStatus.name(),
            |_, handlers, _| async move { handlers.drain(DrainCommand::Report).await },
        )
        .expect(UNIQUE_METHOD_NAMES);
    module
}
