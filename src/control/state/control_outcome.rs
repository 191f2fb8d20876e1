use serde::{Deserialize, Serialize};

use super::StateError;
use crate::{
    control::api::{ApplyReceipt, CallRefusal},
    key::{FeedRevision, ServiceNumber},
};

/// What became of a committed command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ControlOutcome {
    /// The manifest is accepted.
    Applied(ApplyReceipt),
    /// The target is registered.
    Announced {
        /// The number of its service.
        service: ServiceNumber,
        /// The revision from which the feed shows it.
        revision: FeedRevision,
    },
    /// The run is not registered, or no longer.
    Withdrawn {
        /// The revision from which the feed shows that.
        revision: FeedRevision,
    },
    /// Some of the targets were still registered and are gone.
    Expired {
        /// How many they were.
        targets: usize,
        /// The revision from which the feed shows that.
        revision: FeedRevision,
    },
    /// The state speaks against the command; nothing changed.
    Refused(CallRefusal),
    /// The bytes hold no command; nothing changed.
    Undecodable,
}

impl ControlOutcome {
    /// Returns the outcome's bytes for the proposer.
    pub(crate) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads the bytes of an outcome.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        serde_json::from_slice(bytes).map_err(|error| StateError::Outcome {
            column: error.column(),
        })
    }
}
