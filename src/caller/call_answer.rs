use bytes::Bytes;
use http::HeaderMap;

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
}
