use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

/// The bytes that an outcome takes besides its header fields and its body.
const BASE_BYTES: usize = 64;

/// One header field of a kept outcome.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeptHeader {
    /// The name in lower case.
    pub(crate) name: String,
    /// The value as the upstream sent it.
    #[serde_as(as = "Base64")]
    pub(crate) value: Vec<u8>,
}

/// The whole answer of an upstream, kept for callers that ask again.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeptOutcome {
    /// The status of the answer.
    pub(crate) status: u16,
    /// The header fields of the answer.
    pub(crate) headers: Vec<KeptHeader>,
    /// The whole body.
    #[serde_as(as = "Base64")]
    pub(crate) body: Vec<u8>,
}

impl KeptOutcome {
    /// Returns about how many bytes the outcome takes in memory.
    pub(crate) fn bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len() + BASE_BYTES)
            .sum();
        BASE_BYTES + headers + self.body.len()
    }
}
