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

use super::{AdminCall, AdminError, AdminRefusal, DrainRequest, admin_server::ANSWER_BYTES};
use crate::{
    agent::drain::DrainReport,
    control::api::StatusRequest,
    proof::{SignLayer, SignService},
    secret::SecretStore,
};

/// The time that a process has for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// A JSON-RPC client that signs what it sends.
type SignedClient = HttpClient<RpcLogger<RpcService<SignService<HttpBackend>>>>;

/// An operator's connection to the admin address of one process.
pub(crate) struct AdminClient {
    address: SocketAddr,
    client: SignedClient,
}

impl AdminClient {
    /// Creates a client that signs with `secret`; it connects at the first call.
    pub(crate) fn new(address: SocketAddrV4, secret: SecretStore) -> Result<Self, AdminError> {
        let address = SocketAddr::V4(address);
        let body_limit = usize::try_from(ANSWER_BYTES).unwrap_or(usize::MAX);
        let sign = SignLayer::new(secret, body_limit);
        let client = HttpClientBuilder::default()
            .request_timeout(ANSWER_TIMEOUT)
            .max_response_size(ANSWER_BYTES)
            .set_http_middleware(tower::ServiceBuilder::new().layer(sign))
            .build(format!("http://{address}"))
            .map_err(|cause| AdminError::Client {
                address,
                cause: Box::new(cause),
            })?;
        Ok(Self { address, client })
    }

    /// Returns the whole state of the process.
    pub(crate) async fn dump(&self) -> Result<Value, AdminError> {
        // Control replicas take an empty object here.
        self.call(AdminCall::Dump, rpc_params![StatusRequest {}])
            .await
    }

    /// Starts a planned stop of the agent's target.
    pub(crate) async fn drain(&self, request: DrainRequest) -> Result<DrainReport, AdminError> {
        self.call(AdminCall::Drain, rpc_params![request]).await
    }

    /// Takes a planned stop back.
    pub(crate) async fn cancel_drain(&self) -> Result<DrainReport, AdminError> {
        self.call(AdminCall::CancelDrain, rpc_params![]).await
    }

    /// Returns how far a planned stop has come.
    pub(crate) async fn drain_status(&self) -> Result<DrainReport, AdminError> {
        self.call(AdminCall::DrainStatus, rpc_params![]).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        call: AdminCall,
        parameters: ArrayParams,
    ) -> Result<T, AdminError> {
        let answer = self.client.request(call.method(), parameters).await;
        answer.map_err(|error| self.explain(error))
    }

    fn explain(&self, error: ClientError) -> AdminError {
        let address = self.address;
        if let Some(refusal) = read_refusal(&error) {
            return AdminError::Refused { address, refusal };
        }
        match error {
            ClientError::Call(object) => AdminError::UnknownCall {
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

fn read_refusal(error: &ClientError) -> Option<AdminRefusal> {
    let ClientError::Call(object) = error else {
        return None;
    };
    serde_json::from_str(object.data()?.get()).ok()
}
