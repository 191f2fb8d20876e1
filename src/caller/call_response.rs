use bytes::Bytes;
use http::HeaderMap;

use crate::agent::outcome::ProblemDocument;

/// A complete response.
#[derive(Debug, Clone)]
pub struct CallResponse {
    /// The HTTP status.
    pub status: u16,
    /// The response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl CallResponse {
    /// Returns whether the status is 2xx.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns the value of a header, if it is present and visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns whether the response is a refusal which states that the request did
    /// not run and never will.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        let problem: Result<ProblemDocument, _> = serde_json::from_slice(&self.body);
        !self.is_success() && problem.is_ok_and(|problem| problem.not_run)
    }
}
