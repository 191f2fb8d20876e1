use quinn_proto::crypto::{CryptoError, HmacKey};
use ring::hmac;

use crate::{route::ConnectionRoute, secret::SecretStore};

/// The length of an HMAC-SHA256 signature, in bytes.
const SIGNATURE_BYTES: usize = 32;

/// Derives stateless reset tokens with the key of the connection ID's epoch.
///
/// Every run of every agent derives the same token, so a restarted agent can
/// reset the connections of its earlier run.
#[derive(Debug)]
pub(super) struct EpochResetKey {
    secret: SecretStore,
}

impl EpochResetKey {
    /// Creates a key from the deployment secret.
    pub(super) fn new(secret: SecretStore) -> Self {
        Self { secret }
    }

    fn key(&self, id: &[u8]) -> hmac::Key {
        let keys = self.secret.keys();
        let epoch = ConnectionRoute::epoch_bits(id)
            .and_then(|bits| keys.find(bits))
            .unwrap_or_else(|| keys.active());
        epoch.reset_key.clone()
    }
}

impl HmacKey for EpochResetKey {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        let tag = hmac::sign(&self.key(data), data);
        signature_out.copy_from_slice(tag.as_ref());
    }

    fn signature_len(&self) -> usize {
        SIGNATURE_BYTES
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        hmac::verify(&self.key(data), data, signature).map_err(|_| CryptoError)
    }
}
