//! Tests of reading the secret file and deriving keys.

use std::{fs, os::unix::fs::PermissionsExt};

use super::{DeploymentSecret, KeyRing, SecretEpoch, SecretError};

fn write_secret(mode: u32) -> (tempfile::TempDir, std::path::PathBuf) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("secret.json");
    let text = serde_json::to_string(&DeploymentSecret::random(1)).expect("the secret serializes");
    fs::write(&path, text).expect("the file is written");
    fs::set_permissions(&path, fs::Permissions::from_mode(mode)).expect("the mode is set");
    (folder, path)
}

#[test]
fn a_group_readable_secret_file_is_rejected() {
    let (_folder, path) = write_secret(0o640);
    assert!(matches!(
        DeploymentSecret::load(&path),
        Err(SecretError::InsecurePermissions { mode: 0o640, .. })
    ));
}

#[test]
fn a_private_secret_file_loads() {
    let (_folder, path) = write_secret(0o600);
    let secret = DeploymentSecret::load(&path).expect("a valid secret");
    assert!(KeyRing::new(&secret).is_ok());
}

#[test]
fn epochs_with_equal_low_bits_are_rejected() {
    let mut secret = DeploymentSecret::random(1);
    secret.epochs.push(SecretEpoch {
        epoch: 5,
        secret: vec![0; 32],
    });
    assert!(matches!(
        secret.validate(),
        Err(SecretError::AmbiguousEpochs { .. })
    ));
}
