use std::net::{SocketAddr, SocketAddrV4};

use jsonrpsee::{
    RpcModule,
    server::{BatchRequestConfig, Server, ServerConfig, ServerHandle},
    types::ErrorObjectOwned,
};

use super::{AdminCall, AdminError, AdminSource, DrainCommand, DrainRequest};
use crate::{proof::ProofLayer, secret::SecretStore};

/// The longest call in bytes.
const CALL_BYTES: u32 = 64 * 1024;
/// The longest answer in bytes; a dump holds a whole route table.
pub(super) const ANSWER_BYTES: u32 = 512 * 1024 * 1024;
/// The most connections that are open at once.
const CONNECTIONS: u32 = 16;
/// Why registering a method can't fail.
const DISTINCT_NAMES: &str = "each call has its own name";

/// Answers an operator's proven calls; it stops when it is dropped.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl AdminServer {
    /// Listens on `listen` and answers from `source`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on.
    pub async fn start(
        listen: SocketAddrV4,
        secret: SecretStore,
        source: AdminSource,
    ) -> Result<Self, AdminError> {
        let listen = SocketAddr::V4(listen);
        let failed = |cause| AdminError::Listen {
            address: listen,
            cause,
        };
        let config = ServerConfig::builder()
            .max_request_body_size(CALL_BYTES)
            .max_response_body_size(ANSWER_BYTES)
            .max_connections(CONNECTIONS)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .http_only()
            .build();
        let body_limit = usize::try_from(CALL_BYTES).unwrap_or(usize::MAX);
        let proof = ProofLayer::new(secret, body_limit);
        let server = Server::builder()
            .set_config(config)
            .set_http_middleware(tower::ServiceBuilder::new().layer(proof))
            .build(listen)
            .await
            .map_err(failed)?;
        let address = server.local_addr().map_err(failed)?;
        let handle = server.start(answer_from(source));
        Ok(Self { address, handle })
    }

    /// Returns the address that is listened on, with its actual port.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops answering and waits until calls in progress are done.
    pub async fn stop(self) {
        // An error tells that it has stopped already.
        let _ = self.handle.stop();
        self.handle.stopped().await;
    }
}

/// Returns the methods of the admin address, all answered by `source`.
fn answer_from(source: AdminSource) -> RpcModule<AdminSource> {
    let mut module = RpcModule::new(source);
    module
        .register_async_method(AdminCall::Dump.method(), |_, source, _| async move {
            source.dump().await
        })
        .expect(DISTINCT_NAMES);
    module
        .register_async_method(
            AdminCall::Drain.method(),
            |parameters, source, _| async move {
                let request: DrainRequest = parameters.one()?;
                let report = source.drain(DrainCommand::Begin(request)).await;
                report.map_err(ErrorObjectOwned::from)
            },
        )
        .expect(DISTINCT_NAMES);
    module
        .register_async_method(AdminCall::CancelDrain.method(), |_, source, _| async move {
            source.drain(DrainCommand::Cancel).await
        })
        .expect(DISTINCT_NAMES);
    module
        .register_async_method(AdminCall::DrainStatus.method(), |_, source, _| async move {
            source.drain(DrainCommand::Report).await
        })
        .expect(DISTINCT_NAMES);
    module
}
