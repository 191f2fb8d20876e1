use std::net::SocketAddrV4;

use jsonrpsee::{
    core::{
        client::{ClientT, Error as RpcError},
        middleware::RpcServiceBuilder,
        traits::ToRpcParams,
    },
    http_client::{HttpClient, HttpClientBuilder, RpcService, transport::HttpBackend},
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;
use tokio::time::timeout;

use super::ReplicaCallError;
use crate::{
    clock::SpanMillis,
    control::api::{CallName, MAX_REPLY_BYTES, MAX_REQUEST_BYTES},
    proof::{ClientProofLayer, ClientProofService},
    secret::SecretStore,
};

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// An HTTP client with its connections to one replica.
#[derive(Debug)]
pub(super) struct ReplicaClient {
    client: HttpClient<RpcService<ClientProofService<HttpBackend>>>,
}

/// A call with its parameters, encoded once for all attempts.
#[derive(Debug, Clone)]
pub(super) struct EncodedCall {
    pub(super) name: CallName,
    params: Box<RawValue>,
}

impl EncodedCall {
    /// Encodes `request` as the only parameter of a call.
    pub(super) fn new<Q: Serialize>(name: CallName, request: &Q) -> Result<Self, ReplicaCallError> {
        let params =
            serde_json::value::to_raw_value(&[request]).map_err(|_| ReplicaCallError::Protocol)?;
        Ok(Self { name, params })
    }
}

impl ToRpcParams for EncodedCall {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        Ok(Some(self.params))
    }
}

impl ReplicaClient {
    /// Creates a client of the replica at `address` without connecting.
    pub(super) fn new(
        address: SocketAddrV4,
        secret: SecretStore,
    ) -> Result<Self, ReplicaCallError> {
        let layer = ClientProofLayer::new(secret, MAX_REPLY_BYTES);
        let client = HttpClientBuilder::new()
            .max_request_size(u32::try_from(MAX_REQUEST_BYTES).unwrap_or(u32::MAX))
            .max_response_size(u32::try_from(MAX_REPLY_BYTES).unwrap_or(u32::MAX))
            .connect_timeout(CONNECT_TIMEOUT_MILLIS.duration())
            .set_http_middleware(tower::ServiceBuilder::new().layer(layer))
            .set_rpc_middleware(RpcServiceBuilder::new())
            .build(format!("http://{address}/"))
            .map_err(|error: RpcError| ReplicaCallError::from_rpc_error(&error))?;
        Ok(Self { client })
    }

    /// Sends a call and returns the reply; fails after `attempt_timeout`.
    pub(super) async fn call<R: DeserializeOwned>(
        &self,
        call: &EncodedCall,
        attempt_timeout: SpanMillis,
    ) -> Result<R, ReplicaCallError> {
        let reply = self.client.request(call.name.method(), call.clone());
        match timeout(attempt_timeout.duration(), reply).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => Err(ReplicaCallError::from_rpc_error(&error)),
            Err(_) => Err(ReplicaCallError::NoAnswer),
        }
    }
}
