use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use jsonrpsee::{
    core::{BoxError, http_helpers::HttpError},
    http_client::{HttpBody, HttpRequest, HttpResponse, transport::Error as TransportError},
};
use tower::{Layer, Service};

use super::{
    CALL_HEADER, CallHead, CallProof, ProofError, REPLY_HEADER, ReplyProof, unix_time_now,
};
use crate::secret::SecretStore;

/// Client side: adds a proof to every call of a JSON-RPC client and verifies the
/// replies.
#[derive(Debug, Clone)]
pub(crate) struct ClientProofLayer {
    secret: SecretStore,
    body_limit: usize,
}

impl ClientProofLayer {
    /// Creates a layer with the keys of `secret`; replies are limited to
    /// `body_limit` bytes.
    pub(crate) fn new(secret: SecretStore, body_limit: usize) -> Self {
        Self { secret, body_limit }
    }

    async fn add_call_proof(
        &self,
        request: HttpRequest<HttpBody>,
    ) -> Result<(u64, HttpRequest<HttpBody>), BoxError> {
        let (mut parts, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        let head = CallHead {
            method: parts.method.as_str(),
            path: parts.uri.path(),
        };
        let keys = self.secret.keys();
        let proof = CallProof::new(keys.active(), head, &body, unix_time_now(), rand::random());
        let value = http::HeaderValue::try_from(proof.to_string())?;
        parts.headers.insert(CALL_HEADER, value);
        let request = HttpRequest::from_parts(parts, HttpBody::new(Full::new(body)));
        Ok((proof.nonce(), request))
    }

    async fn verify_reply<B>(
        &self,
        nonce: u64,
        response: HttpResponse<B>,
    ) -> Result<HttpResponse<HttpBody>, BoxError>
    where
        B: http_body::Body<Data = Bytes> + Send + 'static,
        B::Error: Into<BoxError>,
    {
        let (parts, body) = response.into_parts();
        if !parts.status.is_success() {
            return Ok(HttpResponse::from_parts(parts, HttpBody::empty()));
        }
        let header = parts.headers.get(REPLY_HEADER).ok_or(ProofError::Missing)?;
        let proof = ReplyProof::parse(header.to_str()?)?;
        let body = Limited::new(body, self.body_limit)
            .collect()
            .await?
            .to_bytes();
        proof.verify(&self.secret.keys(), nonce, parts.status.as_u16(), &body)?;
        let body = HttpBody::new(Full::new(body));
        Ok(HttpResponse::from_parts(parts, body))
    }
}

impl<S> Layer<S> for ClientProofLayer {
    type Service = ClientProofService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        ClientProofService {
            layer: self.clone(),
            inner,
        }
    }
}

/// A JSON-RPC client's transport behind a [`ClientProofLayer`].
#[derive(Debug, Clone)]
pub(crate) struct ClientProofService<S> {
    layer: ClientProofLayer,
    inner: S,
}

type ReplyFuture =
    Pin<Box<dyn Future<Output = Result<HttpResponse<HttpBody>, TransportError>> + Send>>;

impl<S, B> Service<HttpRequest<HttpBody>> for ClientProofService<S>
where
    S: Service<HttpRequest<HttpBody>, Response = HttpResponse<B>, Error = TransportError>,
    S: Clone + Send + 'static,
    S::Future: Send,
    B: http_body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    type Response = HttpResponse<HttpBody>;
    type Error = TransportError;
    type Future = ReplyFuture;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), TransportError>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: HttpRequest<HttpBody>) -> Self::Future {
        let layer = self.layer.clone();
        let mut inner = self.inner.clone();
        Box::pin(async move {
            let (nonce, request) = layer
                .add_call_proof(request)
                .await
                .map_err(into_transport_error)?;
            let response = inner.call(request).await?;
            layer
                .verify_reply(nonce, response)
                .await
                .map_err(into_transport_error)
        })
    }
}

fn into_transport_error(error: BoxError) -> TransportError {
    TransportError::Http(HttpError::Stream(error))
}
