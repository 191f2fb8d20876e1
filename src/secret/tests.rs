//! Tests of reading the secret and deriving keys.

use std::{fs, os::unix::fs::PermissionsExt};

use super::{DeploymentSecret, KeyRing, SecretEpoch, SecretError};

fn write_secret(mode: u32) -> (tempfile::TempDir, std::path::PathBuf) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("secret.json");
    let text = serde_json::to_string(&DeploymentSecret::random(1)).expect("plain JSON");
    fs::write(&path, text).expect("a writable folder");
    fs::set_permissions(&path, fs::Permissions::from_mode(mode)).expect("own file");
    (folder, path)
}

#[test]
fn a_file_that_others_can_read_is_refused() {
    let (_folder, path) = write_secret(0o640);
    assert!(matches!(
        DeploymentSecret::load(&path),
        Err(SecretError::Exposed { mode: 0o640, .. })
    ));
}

#[test]
fn a_private_file_is_read_back_whole() {
    let (_folder, path) = write_secret(0o600);
    let secret = DeploymentSecret::load(&path).expect("a good secret");
    assert!(KeyRing::new(&secret).is_ok());
}

#[test]
fn epochs_that_packets_cannot_tell_apart_are_refused() {
    let mut secret = DeploymentSecret::random(1);
    secret.epochs.push(SecretEpoch {
        epoch: 5,
        secret: vec![0; 32],
    });
    assert!(matches!(
        secret.verify(),
        Err(SecretError::EpochClash { .. })
    ));
}
