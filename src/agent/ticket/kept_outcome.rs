use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

/// Estimated memory overhead of an outcome and of each of its header fields.
const OVERHEAD_BYTES: usize = 64;

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

/// The complete answer of an upstream, kept to replay it to resent requests.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeptOutcome {
    /// The status of the answer.
    pub(crate) status: u16,
    /// The header fields of the answer.
    pub(crate) headers: Vec<KeptHeader>,
    /// The complete body.
    #[serde_as(as = "Base64")]
    pub(crate) body: Vec<u8>,
}

impl KeptOutcome {
    /// Returns the estimated memory use in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len() + OVERHEAD_BYTES)
            .sum();
        OVERHEAD_BYTES + headers + self.body.len()
    }
}
