//! The shared secret of a deployment, its rotation and the keys derived from it.

mod deployment_secret;
mod key_ring;
mod secret_error;
mod secret_rotation;
mod secret_store;

pub use deployment_secret::{DeploymentSecret, SecretEpoch};
pub use key_ring::{EpochKeys, KeyRing};
pub use secret_error::SecretError;
pub use secret_store::SecretStore;

#[cfg(test)]
mod tests;
