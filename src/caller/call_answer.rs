use bytes::Bytes;
use http::HeaderMap;

use crate::agent::outcome::ProblemDocument;

/// A whole answer.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl CallAnswer {
    /// Returns whether the status tells of success.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns a header's value, if it is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns whether the answer says that the request did not and won't run.
    #[must_use]
    pub fn is_refused_unrun(&self) -> bool {
        let problem: Result<ProblemDocument, _> = serde_json::from_slice(&self.body);
        !self.is_success() && problem.is_ok_and(|problem| problem.not_run)
    }
}
