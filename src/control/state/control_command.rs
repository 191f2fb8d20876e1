use serde::{Deserialize, Serialize};

use super::StateError;
use crate::{
    control::api::{AnnounceRequest, WithdrawRequest},
    key::{IncarnationId, TargetKey},
    manifest::Manifest,
};

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ControlCommand {
    /// Puts a verified manifest in force.
    Apply(Manifest),
    /// Registers a target or changes its registration.
    Announce(AnnounceRequest),
    /// Removes a target at its agent's request.
    Withdraw(WithdrawRequest),
    /// Removes targets whose leases expired.
    Expire(Vec<(TargetKey, IncarnationId)>),
}

impl ControlCommand {
    /// Encodes the command for the log.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, StateError> {
        postcard::to_stdvec(self).map_err(StateError::Command)
    }

    /// Decodes a command, or returns `None` if the bytes are not a valid one.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
