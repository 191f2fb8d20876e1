//! Exit codes of `cyclamen check` with warnings and with a manifest in force.

use std::{fs, path::Path};

use rstest::rstest;

use super::run;
use crate::program::ExitStatus;

const IN_FORCE: &str = r#"{"version": 4, "replaces": 1, "services": []}"#;

/// Guards against a send that control would refuse although the check was clean.
#[rstest]
#[case::next(
    r#"{"version": 5, "replaces": 4, "services": []}"#,
    ExitStatus::Success
)]
#[case::not_above(r#"{"version": 4, "replaces": 3, "services": []}"#, ExitStatus::Warned)]
#[case::replaces_other(r#"{"version": 5, "replaces": 3, "services": []}"#, ExitStatus::Warned)]
#[case::fault(r#"{"version": 5, "replaces": 5, "services": []}"#, ExitStatus::Failed)]
fn the_exit_status_tells_clean_warnings_and_invalid_apart(
    #[case] text: &str,
    #[case] status: ExitStatus,
) {
    assert_eq!(check(text, IN_FORCE), status);
}

/// Guards against a comparison with a file that can't be read, which would show no changes.
#[test]
fn a_damaged_manifest_in_force_fails() {
    let text = r#"{"version": 5, "replaces": 4, "services": []}"#;
    assert_eq!(check(text, &IN_FORCE[..20]), ExitStatus::Failed);
}

#[test]
fn the_examples_are_clean() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    for name in ["havbruk", "trinacria"] {
        let path = examples.join(name).join("manifest.json");
        let path = path.to_str().expect("a UTF-8 path");
        assert_eq!(run(&["check", path]), ExitStatus::Success);
    }
}

fn check(text: &str, in_force: &str) -> ExitStatus {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let [new, old] = [("new.json", text), ("old.json", in_force)].map(|(name, text)| {
        let path = folder.path().join(name);
        fs::write(&path, text).expect("a writable folder");
        path.to_str().expect("a UTF-8 path").to_owned()
    });
    run(&["check", &new, "--in-force", &old])
}
