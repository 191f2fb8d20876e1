//! Creating and rotating a secret file.

use super::run;
use crate::{program::ExitStatus, secret::DeploymentSecret};

#[test]
fn a_rotation_keeps_the_old_epoch_until_its_last_step() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("secret.json");
    let name = path.to_str().expect("an ASCII path");
    let step = |step| run(&["secret", "rotate", name, "--step", step]);
    let epochs = || {
        let secret = DeploymentSecret::load(&path).expect("a private file");
        let epochs: Vec<u8> = secret.epochs.iter().map(|epoch| epoch.epoch).collect();
        (secret.active, epochs)
    };
    assert_eq!(run(&["secret", "new", name]), ExitStatus::Success);
    assert_eq!(step("activate"), ExitStatus::Failed);
    assert_eq!(step("add"), ExitStatus::Success);
    assert_eq!(epochs(), (1, vec![1, 2]));
    assert_eq!(step("retire"), ExitStatus::Failed);
    assert_eq!(step("activate"), ExitStatus::Success);
    assert_eq!(epochs(), (2, vec![1, 2]));
    assert_eq!(step("retire"), ExitStatus::Success);
    assert_eq!(epochs(), (2, vec![2]));
}

#[test]
fn an_existing_secret_is_not_overwritten() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("secret.json");
    let name = path.to_str().expect("an ASCII path");
    run(&["secret", "new", name]);
    let before = DeploymentSecret::load(&path).expect("a private file");
    assert_eq!(run(&["secret", "new", name]), ExitStatus::Failed);
    let after = DeploymentSecret::load(&path).expect("a private file");
    assert_eq!(before, after);
}
