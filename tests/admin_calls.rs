//! Dumps and drains running processes with the built `cyclamen` command.

mod support;

use std::{net::SocketAddrV4, process::Command};

use serde_json::Value;
use support::{TestSite, eventually};

/// Runs `cyclamen` with `--json`; returns its report if it succeeds.
fn run_cyclamen(site: &TestSite, arguments: &[&str], address: SocketAddrV4) -> Option<Value> {
    let output = Command::new(env!("CARGO_BIN_EXE_cyclamen"))
        .args(arguments)
        .arg("--json")
        .arg("--secret")
        .arg(site.secret_file())
        .arg(address.to_string())
        .output()
        .expect("the program is built");
    let report = serde_json::from_slice(&output.stdout).expect("the report is JSON");
    output.status.success().then_some(report)
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_are_dumped_and_an_idle_agent_is_drained() {
    let site = TestSite::new();
    let _control = site.start_control();
    site.apply(site.manifest(1)).await;
    let _balancer = site.start_balancer(0);
    let upstream = site.start_upstream(0, "barge").await;
    let _agent = site.start_agent(0, "barge-control", upstream.address());
    let balancer = SocketAddrV4::new(site.balancer_ip(0), 7100);
    let agent = site.address(100, 7200);

    eventually("the balancer's dump shows the manifest", async || {
        let dump = run_cyclamen(&site, &["dump"], balancer);
        dump.is_some_and(|dump| dump["manifest_version"] == 1)
    })
    .await;
    eventually("the agent answers its dump", async || {
        let dump = run_cyclamen(&site, &["dump"], agent);
        dump.is_some_and(|dump| dump["service"] == "barge-control")
    })
    .await;
    let drained = run_cyclamen(&site, &["drain", "--wait"], agent).expect("a drain");
    assert_eq!(drained["stage"]["stage"], "drained");
    assert_eq!(drained["stage"]["cut"], false);
    assert_eq!(run_cyclamen(&site, &["drain"], balancer), None);
}
