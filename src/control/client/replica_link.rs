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

use super::LinkFault;
use crate::{
    clock::SpanMillis,
    control::api::{CallName, MOST_REPLY_BYTES, MOST_REQUEST_BYTES},
    proof::{SignLayer, SignService},
    secret::SecretStore,
};

/// The time within which a connection has to stand.
const CONNECT_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// The connections to one replica.
#[derive(Debug)]
pub(super) struct ReplicaLink {
    client: HttpClient<RpcService<SignService<HttpBackend>>>,
}

/// One argument of a call, encoded once for all attempts.
#[derive(Debug, Clone)]
pub(super) struct EncodedCall {
    /// The method.
    pub(super) name: CallName,
    params: Box<RawValue>,
}

impl EncodedCall {
    /// Encodes the argument of a call.
    pub(super) fn new<Q: Serialize>(name: CallName, request: &Q) -> Result<Self, LinkFault> {
        let params =
            serde_json::value::to_raw_value(&[request]).map_err(|_| LinkFault::NotUnderstood)?;
        Ok(Self { name, params })
    }
}

impl ToRpcParams for EncodedCall {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        Ok(Some(self.params))
    }
}

impl ReplicaLink {
    /// Prepares calls of the replica at `address`; nothing is sent yet.
    pub(super) fn new(address: SocketAddrV4, secret: SecretStore) -> Result<Self, LinkFault> {
        let layer = SignLayer::new(secret, MOST_REPLY_BYTES);
        let client = HttpClientBuilder::new()
            .max_request_size(u32::try_from(MOST_REQUEST_BYTES).unwrap_or(u32::MAX))
            .max_response_size(u32::try_from(MOST_REPLY_BYTES).unwrap_or(u32::MAX))
            .connect_timeout(CONNECT_MILLIS.duration())
            .set_http_middleware(tower::ServiceBuilder::new().layer(layer))
            .set_rpc_middleware(RpcServiceBuilder::new())
            .build(format!("http://{address}/"))
            .map_err(|error: RpcError| LinkFault::sort(&error))?;
        Ok(Self { client })
    }

    /// Sends a call and returns the answer, all within `deadline`.
    pub(super) async fn call<R: DeserializeOwned>(
        &self,
        call: &EncodedCall,
        deadline: SpanMillis,
    ) -> Result<R, LinkFault> {
        let answer = self.client.request(call.name.method(), call.clone());
        match timeout(deadline.duration(), answer).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => Err(LinkFault::sort(&error)),
            Err(_) => Err(LinkFault::NoAnswer),
        }
    }
}
