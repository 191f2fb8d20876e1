use std::net::SocketAddrV4;

use http::{Request, Response, Uri, Version, header, uri::Scheme};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use miette::Diagnostic;
use thiserror::Error;

use super::RequestBody;

/// Headers that concern one hop alone (RFC 9110, section 7.6.1).
const HOP_HEADERS: [header::HeaderName; 5] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Why the upstream gave no answer.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum UpstreamError {
    /// The request has no path that the upstream could be asked for.
    #[error("the request target is malformed: {0}")]
    Target(#[from] http::Error),
    /// No connection to the upstream was made; the request did not run.
    #[error("the upstream can't be reached: {0}")]
    Unreachable(#[source] hyper_util::client::legacy::Error),
    /// The request was on its way; whether it ran is not known.
    #[error("the upstream failed: {0}")]
    Failed(#[source] hyper_util::client::legacy::Error),
}

/// Asks the upstream over HTTP/1.1.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamClient {
    client: Client<HttpConnector, RequestBody>,
    upstream: SocketAddrV4,
}

impl UpstreamClient {
    /// Creates a client of the upstream at `upstream`.
    pub(crate) fn new(upstream: SocketAddrV4) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, upstream }
    }

    /// Sends a request and returns the head of the answer with its body.
    ///
    /// # Errors
    ///
    /// Fails when no whole head of an answer came back.
    pub(crate) async fn send(
        &self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let request = self.prepare(request)?;
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                UpstreamError::Unreachable(error)
            } else {
                UpstreamError::Failed(error)
            }
        })
    }

    fn prepare(
        &self,
        mut request: Request<RequestBody>,
    ) -> Result<Request<RequestBody>, http::Error> {
        let authority = request.uri().authority().cloned();
        let path = request.uri().path_and_query().cloned();
        let uri = Uri::builder()
            .scheme(Scheme::HTTP)
            .authority(self.upstream.to_string())
            .path_and_query(path.map_or_else(|| "/".to_owned(), |path| path.to_string()))
            .build()?;
        *request.uri_mut() = uri;
        *request.version_mut() = Version::HTTP_11;
        for name in HOP_HEADERS {
            request.headers_mut().remove(name);
        }
        if let Some(authority) = authority
            && !request.headers().contains_key(header::HOST)
            && let Ok(host) = http::HeaderValue::from_str(authority.as_str())
        {
            request.headers_mut().insert(header::HOST, host);
        }
        Ok(request)
    }
}
