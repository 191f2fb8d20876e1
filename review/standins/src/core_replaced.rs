//! The seeds are exchanged for entry machines without a disk, these restart together, and two
//! machines of the core are replaced later.

use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::operator_call,
    record::Record,
    site::{CONTROL, Site},
};

const CATCH_UP: Duration = Duration::from_secs(4);
/// Longer than the contact window of 4 s.
const CALM: Duration = Duration::from_secs(6);
/// How long the operator reads at the end; the contact window at least.
const READ_LIMIT: Duration = Duration::from_secs(15);

fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"198.18.0.1\",\
         \"path-prefix\":\"/8443/\",\"route-type\":\"non_idempotent\",\"timeout-ms\":3000,\
         \"latency-goal-ms\":200,\"priority\":1,\"service\":\"barge-control\",\"max-attempts\":2}}],\
         \"services\":[{{\"name\":\"barge-control\",\"health-path\":\"/health\",\"max-flows\":2000,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}

/// Reads the config from the machines in turn; returns whether it comes as `body`.
fn read(site: &Site, hosts: &[u8], body: &str, limit: Duration, record: &Record) -> bool {
    let end = Instant::now() + limit;
    for host in hosts.iter().cycle() {
        if Instant::now() >= end {
            return false;
        }
        let to = site.block.at(*host, CONTROL);
        let answer = operator_call(to, "GET", "/cyclamenrouter/config", "");
        record.note(&format!(
            "operator: GET config from edge-{host}: {:?}",
            answer.as_ref().map(|(status, _)| status)
        ));
        if answer.is_some_and(|(status, text)| status == 200 && text == body) {
            return true;
        }
        sleep(Duration::from_millis(150));
    }
    false
}

/// Returns whether the rule held; `None` if the case couldn't run.
pub fn run(folder: &Path, record: &Record, trouble: bool) -> Option<bool> {
    let mut site = Site::new(folder, record.clone(), &[1, 2, 3])?;
    let mut nodes = Vec::new();
    for host in 1..=6 {
        nodes.push(site.add_entry(host, host <= 3)?);
    }
    let body = config(7);
    site.put_config(&[1, 2, 3, 4, 5, 6], &body, Duration::from_secs(20))?;
    record.say("version 7 is acknowledged");
    site.end_bootstrap()?;
    sleep(CALM);
    site.change_seeds(&[4, 5, 6])?;
    sleep(CALM);
    if trouble {
        for node in &nodes[3..] {
            site.kill(*node);
        }
        sleep(Duration::from_millis(500));
        for node in &nodes[3..] {
            site.start(*node)?;
        }
    }
    sleep(CALM);
    if !read(&site, &[1, 2, 3], &body, READ_LIMIT, record) {
        return None;
    }
    // One machine of the core is lost for good, and an empty one comes a second later; its
    // successor has more than the time to catch up before the next one is lost.
    for (lost, successor) in [(nodes[0], 7), (nodes[1], 8)] {
        site.kill(lost);
        sleep(Duration::from_secs(1));
        site.add_entry(successor, true)?;
        sleep(CATCH_UP + CALM);
    }
    let is_read = read(&site, &[3, 4, 5, 6, 7, 8], &body, READ_LIMIT, record);
    record.say(&format!(
        "after two machines of the core were replaced, the config is read back: {is_read}"
    ));
    Some(is_read)
}
