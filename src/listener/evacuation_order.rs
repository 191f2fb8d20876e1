use serde::{Deserialize, Serialize};

use crate::control::StateError;

/// Ten bytes that no encoded manifest starts with, because its first field is a
/// 64-bit number and these are none. A build that does not know orders therefore
/// logs one as unread and goes on.
const ORDER_PREFIX: [u8; 10] = [0xff; 10];

/// An operator's order about a failure domain, a command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum EvacuationOrder {
    /// The domain's targets get no new flows.
    Evacuate(String),
    /// They get new flows again.
    Readmit(String),
}

impl EvacuationOrder {
    /// Returns the name of the failure domain.
    pub(crate) fn domain(&self) -> &str {
        match self {
            Self::Evacuate(domain) | Self::Readmit(domain) => domain,
        }
    }

    /// Returns whether a command is an order.
    pub(super) fn is_order(command: &[u8]) -> bool {
        command.starts_with(&ORDER_PREFIX)
    }

    /// Encodes the order as a command for the replicated log.
    ///
    /// # Errors
    ///
    /// Fails when it can't be encoded.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, StateError> {
        let mut command = ORDER_PREFIX.to_vec();
        command.extend(postcard::to_stdvec(self).map_err(StateError::Command)?);
        Ok(command)
    }

    /// Decodes a command that `is_order`.
    ///
    /// # Errors
    ///
    /// Fails when the bytes after the prefix are malformed.
    pub(super) fn decode(command: &[u8]) -> Result<Self, postcard::Error> {
        let order = command.strip_prefix(&ORDER_PREFIX).unwrap_or(command);
        postcard::from_bytes(order)
    }
}
