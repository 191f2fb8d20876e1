use bytes::Bytes;
use http::Request;

use super::CallerError;

/// The header that carries a ticket.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// An HTTP request to a service.
#[derive(Debug, Clone)]
pub struct CallRequest {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

impl CallRequest {
    /// Creates a request without a body.
    #[must_use]
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Adds a ticket as `Idempotency-Key`, so that the request runs at most once.
    #[must_use]
    pub fn with_ticket(self, ticket: &str) -> Self {
        self.with_header(IDEMPOTENCY_KEY_HEADER, ticket)
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the request head addressed to `service`, and the body.
    pub(super) fn into_parts(self, service: &str) -> Result<(Request<()>, Bytes), CallerError> {
        let mut builder = Request::builder()
            .method(self.method.as_str())
            .uri(format!("https://{service}{}", self.path));
        for (name, value) in &self.headers {
            builder = builder.header(name.as_str(), value.as_str());
        }
        if !self.body.is_empty() {
            builder = builder.header(http::header::CONTENT_LENGTH, self.body.len());
        }
        let head = builder.body(()).map_err(CallerError::Malformed)?;
        Ok((head, self.body))
    }
}
