use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use jsonrpsee::{
    core::BoxError,
    server::{HttpBody, HttpRequest, HttpResponse},
};
use metrics::counter;
use tower::{Layer, Service};

use super::{
    CALL_HEADER, CallHead, CallProof, ProofError, REPLY_HEADER, ReplyProof, unix_time_now,
};
use crate::{clock::SpanMillis, secret::SecretStore};

/// The timeout for reading the body of an authenticated call.
const BODY_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(10_000);

/// Server side: passes only authenticated calls to a JSON-RPC server and adds a
/// proof to its replies.
#[derive(Debug, Clone)]
pub(crate) struct ServerProofLayer {
    secret: SecretStore,
    body_limit: usize,
}

impl ServerProofLayer {
    /// Creates a layer with the keys of `secret`; bodies are limited to
    /// `body_limit` bytes.
    pub(crate) fn new(secret: SecretStore, body_limit: usize) -> Self {
        Self { secret, body_limit }
    }

    /// Verifies the header, then reads and verifies the body without parsing it.
    async fn verify_call(
        &self,
        request: HttpRequest<HttpBody>,
    ) -> Result<(u64, HttpRequest<HttpBody>), ProofError> {
        let proof = self.verify_header(&request)?;
        let (parts, body) = request.into_parts();
        let body = self.read_body(body).await?;
        proof.verify_body(&body)?;
        let request = HttpRequest::from_parts(parts, HttpBody::from(body.to_vec()));
        Ok((proof.nonce(), request))
    }

    fn verify_header(&self, request: &HttpRequest<HttpBody>) -> Result<CallProof, ProofError> {
        let header = request
            .headers()
            .get(CALL_HEADER)
            .ok_or(ProofError::Missing)?;
        let text = header.to_str().map_err(|_| ProofError::Malformed)?;
        let proof = CallProof::parse(text)?;
        let head = CallHead {
            method: request.method().as_str(),
            path: request.uri().path(),
        };
        proof.verify(&self.secret.keys(), head, unix_time_now())?;
        Ok(proof)
    }

    async fn read_body(&self, body: HttpBody) -> Result<Bytes, ProofError> {
        let limit = self.body_limit;
        let collecting = Limited::new(body, limit).collect();
        match tokio::time::timeout(BODY_TIMEOUT_MILLIS.duration(), collecting).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ProofError::Oversize { limit }),
            Ok(Err(_)) | Err(_) => Err(ProofError::Incomplete),
        }
    }

    async fn add_reply_proof(
        &self,
        nonce: u64,
        response: HttpResponse<HttpBody>,
    ) -> Result<HttpResponse<HttpBody>, BoxError> {
        let (mut parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        let status = parts.status.as_u16();
        let proof = ReplyProof::new(self.secret.keys().active(), nonce, status, &body);
        let value = http::HeaderValue::try_from(proof.to_string())?;
        parts.headers.insert(REPLY_HEADER, value);
        Ok(HttpResponse::from_parts(
            parts,
            HttpBody::new(http_body_util::Full::new(body)),
        ))
    }
}

impl<S> Layer<S> for ServerProofLayer {
    type Service = ServerProofService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        ServerProofService {
            layer: self.clone(),
            inner,
        }
    }
}

/// A JSON-RPC server behind a [`ServerProofLayer`].
#[derive(Debug, Clone)]
pub(crate) struct ServerProofService<S> {
    layer: ServerProofLayer,
    inner: S,
}

type ReplyFuture = Pin<Box<dyn Future<Output = Result<HttpResponse<HttpBody>, BoxError>> + Send>>;

impl<S> Service<HttpRequest<HttpBody>> for ServerProofService<S>
where
    S: Service<HttpRequest<HttpBody>, Response = HttpResponse<HttpBody>, Error = BoxError>,
    S: Clone + Send + 'static,
    S::Future: Send,
{
    type Response = HttpResponse<HttpBody>;
    type Error = BoxError;
    type Future = ReplyFuture;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: HttpRequest<HttpBody>) -> Self::Future {
        let layer = self.layer.clone();
        let mut inner = self.inner.clone();
        Box::pin(async move {
            match layer.verify_call(request).await {
                Ok((nonce, request)) => {
                    let response = inner.call(request).await?;
                    layer.add_reply_proof(nonce, response).await
                }
                Err(error) => refuse(error),
            }
        })
    }
}

/// Counts the refusal and replies with an empty body, which leaks nothing.
fn refuse(error: ProofError) -> Result<HttpResponse<HttpBody>, BoxError> {
    counter!("cyclamen_call_proof_refused_total", "reason" => error.reason()).increment(1);
    let status = match error {
        ProofError::Oversize { .. } => http::StatusCode::PAYLOAD_TOO_LARGE,
        _ => http::StatusCode::UNAUTHORIZED,
    };
    Ok(http::Response::builder()
        .status(status)
        .body(HttpBody::empty())?)
}
