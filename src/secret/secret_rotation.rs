use super::{DeploymentSecret, SecretError};

impl DeploymentSecret {
    /// Returns the secret with a further epoch that is accepted, not used.
    ///
    /// # Errors
    ///
    /// Fails when a rotation runs already.
    pub fn with_next_epoch(mut self) -> Result<Self, SecretError> {
        let count = self.epochs.len();
        if count != 1 {
            return Err(SecretError::RotationRuns { count });
        }
        let next = Self::random(self.active.wrapping_add(1));
        self.epochs.extend(next.epochs);
        self.verify()?;
        Ok(self)
    }

    /// Returns the secret with the epoch in use that was added last.
    ///
    /// # Errors
    ///
    /// Fails when no rotation runs.
    pub fn with_newest_active(mut self) -> Result<Self, SecretError> {
        let [_, newest] = self.epochs.as_slice() else {
            return Err(SecretError::NoRotation);
        };
        self.active = newest.epoch;
        Ok(self)
    }

    /// Returns the secret without the epoch that is no longer used.
    ///
    /// # Errors
    ///
    /// Fails when the added epoch is not in use yet, or no rotation runs.
    pub fn with_active_alone(mut self) -> Result<Self, SecretError> {
        let [old, _] = self.epochs.as_slice() else {
            return Err(SecretError::NoRotation);
        };
        if old.epoch == self.active {
            return Err(SecretError::NotActivated);
        }
        self.epochs.remove(0);
        Ok(self)
    }
}
