//! The built programs reject bad input with its location and the right exit code.

use std::{
    fs,
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use rstest::rstest;
use tempfile::TempDir;

fn write_file(folder: &TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    fs::write(&path, text).expect("a writable folder");
    path
}

fn run(program: &str, arguments: &[&str], file: &Path) -> Output {
    Command::new(program)
        .args(arguments)
        .arg(file)
        .output()
        .expect("the program is built")
}

fn output_text(output: &Output) -> String {
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    text
}

#[rstest]
#[case::equal_names("logbook", "192.0.2.2:443", "services[1].name")]
#[case::clashing_addresses("other", "192.0.2.1:443", "services[1].address")]
fn a_faulty_manifest_is_refused_with_the_place_of_the_fault(
    #[case] name: &str,
    #[case] address: &str,
    #[case] place: &str,
) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let text = format!(
        r#"{{"version": 1, "replaces": 0, "services": [
            {{"name": "logbook", "address": "192.0.2.1:443"}},
            {{"name": "{name}", "address": "{address}"}}]}}"#
    );
    let file = write_file(&folder, "manifest.json", &text);
    let output = run(env!("CARGO_BIN_EXE_cyclamen"), &["check", "--json"], &file);
    assert_eq!(output.status.code(), Some(1));
    let report: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the report is JSON");
    assert_eq!(report["faults"][0]["place"], place);
}

#[rstest]
#[case::control(env!("CARGO_BIN_EXE_cyclamen-control"))]
#[case::balancer(env!("CARGO_BIN_EXE_cyclamen-balancer"))]
#[case::agent(env!("CARGO_BIN_EXE_cyclamen-agent"))]
fn settings_with_an_unknown_field_are_refused(#[case] program: &str) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = write_file(&folder, "settings.json", "{\n  \"nmae\": \"x\"\n}");
    let output = run(program, &["--check-settings", "--settings"], &file);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        output_text(&output).contains("nmae"),
        "{}",
        output_text(&output)
    );
}

#[test]
fn the_error_of_a_control_replica_names_an_address_in_use() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket").to_string();
    let secret = folder.path().join("secret.json");
    run(env!("CARGO_BIN_EXE_cyclamen"), &["secret", "new"], &secret);
    let settings = serde_json::json!({
        "name": "control-1",
        "domain": {"region": "vestland", "failure_domain": "sund"},
        "listen": address,
        "data_folder": folder.path(),
        "secret_file": secret,
    });
    let file = write_file(&folder, "control.json", &settings.to_string());
    let output = run(
        env!("CARGO_BIN_EXE_cyclamen-control"),
        &["--settings"],
        &file,
    );
    assert_eq!(output.status.code(), Some(1));
    let (_, port) = address.split_once(':').expect("a port");
    assert!(
        output_text(&output).contains(port),
        "{}",
        output_text(&output)
    );
}
