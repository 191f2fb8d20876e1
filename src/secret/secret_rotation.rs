use super::{DeploymentSecret, SecretError};

impl DeploymentSecret {
    /// Adds the next epoch, which is accepted but not yet active.
    ///
    /// # Errors
    ///
    /// Fails when a rotation is already in progress.
    pub fn with_next_epoch(mut self) -> Result<Self, SecretError> {
        let count = self.epochs.len();
        if count != 1 {
            return Err(SecretError::RotationInProgress { count });
        }
        let next = Self::random(self.active.wrapping_add(1));
        self.epochs.extend(next.epochs);
        self.validate()?;
        Ok(self)
    }

    /// Makes the epoch that was added last the active one.
    ///
    /// # Errors
    ///
    /// Fails when no rotation is in progress.
    pub fn with_next_epoch_active(mut self) -> Result<Self, SecretError> {
        let [_, newest] = self.epochs.as_slice() else {
            return Err(SecretError::NoRotation);
        };
        self.active = newest.epoch;
        Ok(self)
    }

    /// Removes the old epoch, which is no longer active.
    ///
    /// # Errors
    ///
    /// Fails when the added epoch is not active yet, or no rotation is in progress.
    pub fn with_active_epoch_only(mut self) -> Result<Self, SecretError> {
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
