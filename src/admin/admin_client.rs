use std::{
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use jsonrpsee::{
    core::{ClientError, client::ClientT, middleware::layer::RpcLogger, params::ArrayParams},
    http_client::{HttpClient, HttpClientBuilder, RpcService, transport::HttpBackend},
    rpc_params,
};
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{
    AdminError, AdminMethod, AdminRefusal, DrainRequest, admin_server::MAX_RESPONSE_BYTES,
};
use crate::{
    agent::drain::DrainReport,
    control::api::StatusRequest,
    proof::{ClientProofLayer, ClientProofService},
    secret::SecretStore,
};

/// How long a call waits for its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A JSON-RPC client that signs its requests and verifies the responses.
type SignedClient = HttpClient<RpcLogger<RpcService<ClientProofService<HttpBackend>>>>;

/// A client of the admin address of one process.
pub(crate) struct AdminClient {
    address: SocketAddr,
    client: SignedClient,
}

impl AdminClient {
    /// Creates a client that signs with `secret`; it connects on the first call.
    pub(crate) fn new(address: SocketAddrV4, secret: SecretStore) -> Result<Self, AdminError> {
        let address = SocketAddr::V4(address);
        let body_limit = usize::try_from(MAX_RESPONSE_BYTES).unwrap_or(usize::MAX);
        let layer = ClientProofLayer::new(secret, body_limit);
        let client = HttpClientBuilder::default()
            .request_timeout(RESPONSE_TIMEOUT)
            .max_response_size(MAX_RESPONSE_BYTES)
            .set_http_middleware(tower::ServiceBuilder::new().layer(layer))
            .build(format!("http://{address}"))
            .map_err(|cause| AdminError::Client {
                address,
                cause: Box::new(cause),
            })?;
        Ok(Self { address, client })
    }

    /// Returns the full state of the process.
    pub(crate) async fn dump(&self) -> Result<Value, AdminError> {
        // Control replicas expect an empty object as the parameter.
        self.call(AdminMethod::Dump, rpc_params![StatusRequest {}])
            .await
    }

    /// Starts a drain of the agent's target, or sets the deadline of a running one.
    pub(crate) async fn drain(&self, request: DrainRequest) -> Result<DrainReport, AdminError> {
        self.call(AdminMethod::Drain, rpc_params![request]).await
    }

    /// Cancels the drain.
    pub(crate) async fn cancel_drain(&self) -> Result<DrainReport, AdminError> {
        self.call(AdminMethod::CancelDrain, rpc_params![]).await
    }

    /// Returns the progress of the drain.
    pub(crate) async fn drain_status(&self) -> Result<DrainReport, AdminError> {
        self.call(AdminMethod::DrainStatus, rpc_params![]).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: AdminMethod,
        parameters: ArrayParams,
    ) -> Result<T, AdminError> {
        let response = self.client.request(method.name(), parameters).await;
        response.map_err(|error| self.classify_error(error))
    }

    fn classify_error(&self, error: ClientError) -> AdminError {
        let address = self.address;
        if let Some(refusal) = parse_refusal(&error) {
            return AdminError::Refused { address, refusal };
        }
        match error {
            ClientError::Call(object) => AdminError::UnknownMethod {
                address,
                message: object.message().to_owned(),
            },
            error => AdminError::Unanswered {
                address,
                cause: Box::new(error),
            },
        }
    }
}

fn parse_refusal(error: &ClientError) -> Option<AdminRefusal> {
    let ClientError::Call(object) = error else {
        return None;
    };
    serde_json::from_str(object.data()?.get()).ok()
}
