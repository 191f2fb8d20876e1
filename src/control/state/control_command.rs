use serde::{Deserialize, Serialize};

use super::StateError;
use crate::{
    control::api::{AnnounceRequest, WithdrawRequest},
    key::{IncarnationId, TargetKey},
    manifest::Manifest,
};

/// A change that the control group puts in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ControlCommand {
    /// Puts a verified manifest in force.
    Apply(Manifest),
    /// Registers a target or changes its registration.
    Announce(AnnounceRequest),
    /// Takes a target out on its agent's word.
    Withdraw(WithdrawRequest),
    /// Takes out targets whose leases ran out.
    Expire(Vec<(TargetKey, IncarnationId)>),
}

impl ControlCommand {
    /// Returns the command's bytes for the log.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, StateError> {
        postcard::to_stdvec(self).map_err(StateError::Command)
    }

    /// Reads the bytes of a command; none if they hold no command.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
