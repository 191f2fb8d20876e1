//! Exit codes of the command line.

use std::fs;

use rstest::rstest;

use super::run;
use crate::program::ExitStatus;

#[rstest]
#[case::nothing(&[])]
#[case::unknown_command(&["explode"])]
#[case::unknown_option(&["check", "--fast"])]
#[case::no_file(&["check"])]
#[case::unknown_step(&["secret", "rotate", "s.json", "--step", "twice"])]
#[case::no_step(&["secret", "rotate", "s.json"])]
#[case::no_name(&["tls-test-certificate", "--folder", "/nowhere"])]
#[case::no_address(&["call", "--name", "logbook", "--ca", "root.pem"])]
#[case::bad_address(&["call", "--service-address", "logbook:443"])]
fn usage_errors_have_their_own_exit_status(#[case] arguments: &[&str]) {
    assert_eq!(run(arguments), ExitStatus::Usage);
}

#[rstest]
#[case(&["--help"])]
#[case(&["--version"])]
#[case(&["check", "--help"])]
fn help_and_version_succeed(#[case] arguments: &[&str]) {
    assert_eq!(run(arguments), ExitStatus::Success);
}

#[rstest]
#[case::good(
    r#"{"version": 1, "replaces": 0, "services": []}"#,
    ExitStatus::Success
)]
#[case::fault(r#"{"version": 1, "replaces": 1, "services": []}"#, ExitStatus::Failed)]
#[case::malformed(r#"{"version": 1, "replaces": 0, "#, ExitStatus::Failed)]
fn the_exit_status_of_check_shows_whether_a_manifest_is_valid(
    #[case] text: &str,
    #[case] status: ExitStatus,
) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("manifest.json");
    fs::write(&path, text).expect("a writable folder");
    let path = path.to_str().expect("an ASCII path");
    assert_eq!(run(&["check", path]), status);
    assert_eq!(run(&["check", "--json", path]), status);
}

#[test]
fn a_missing_file_fails() {
    assert_eq!(
        run(&["check", "/nowhere/manifest.json"]),
        ExitStatus::Failed
    );
}
