use serde::{Deserialize, Serialize};

use super::StateError;
use crate::{
    control::api::{ApplyReply, CallRefusal},
    key::{FeedRevision, ServiceNumber},
};

/// The result of executing a committed command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ControlOutcome {
    /// The manifest was accepted.
    Applied(ApplyReply),
    /// The target is registered.
    Announced {
        /// The number of its service.
        service: ServiceNumber,
        /// The feed includes the registration from this revision on.
        revision: FeedRevision,
    },
    /// The incarnation is not registered, or no longer.
    Withdrawn {
        /// The feed reflects the removal from this revision on.
        revision: FeedRevision,
    },
    /// The targets that were still registered under these incarnations were removed.
    Expired {
        /// The number of removed targets.
        targets: usize,
        /// The feed reflects the removal from this revision on.
        revision: FeedRevision,
    },
    /// The command conflicts with the state; nothing changed.
    Refused(CallRefusal),
    /// The bytes are not a valid command; nothing changed.
    Undecodable,
}

impl ControlOutcome {
    /// Encodes the outcome for the proposer.
    pub(crate) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes an outcome.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        serde_json::from_slice(bytes).map_err(|error| StateError::Outcome {
            column: error.column(),
        })
    }
}
