use serde::{Deserialize, Serialize};

use super::{ListenerManifest, ServiceColdLimit};
use crate::{
    control::{ControlEvent, StateError},
    event::log_event,
};

/// A manifest and the document that it was parsed from.
///
/// The manifest's cold limits are no part of these bytes. They follow them in commands
/// and snapshots, where builds that do not know them ignore them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredManifest {
    /// The routes.
    pub(crate) manifest: ListenerManifest,
    /// The operator's document, returned when it is read back.
    pub(crate) document: Vec<u8>,
}

impl StoredManifest {
    /// Encodes the manifest as a command for the replicated log.
    ///
    /// # Errors
    ///
    /// Fails when it can't be encoded.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, StateError> {
        let mut command = postcard::to_stdvec(self).map_err(StateError::Command)?;
        let limits = &self.manifest.cold_limits;
        if !limits.is_empty() {
            command.extend(postcard::to_stdvec(limits).map_err(StateError::Command)?);
        }
        Ok(command)
    }

    /// Decodes a command. Unreadable cold limits are omitted, as builds that do not
    /// know them omit all, so that the routes are the same on all replicas.
    ///
    /// # Errors
    ///
    /// Fails when the bytes before the cold limits are malformed.
    pub(super) fn decode(command: &[u8]) -> Result<Self, postcard::Error> {
        let (mut stored, rest): (Self, &[u8]) = postcard::take_from_bytes(command)?;
        if !rest.is_empty() {
            match postcard::from_bytes::<Vec<ServiceColdLimit>>(rest) {
                Ok(limits) => stored.manifest.cold_limits = limits,
                Err(error) => log_event!(warn, ControlEvent::LimitsUnread, %error),
            }
        }
        Ok(stored)
    }
}
