//! A planned replacement of a core machine, and the loss of another machine's disk.
//! Usage: replaced-machine trouble|calm RECORD. Exits with 1 if an acknowledged config is gone, 0 if it is
//! read back, 2 if the case could not run.

use std::{
    process::ExitCode,
    thread::sleep,
    time::{Duration, Instant},
};

use review_standins_3::{Record, Site, Tolerance, read_arguments};

/// How long the new machine runs before the old one is stopped; `catch-up-s` is 4.
const SUCCESSOR_TIME: Duration = Duration::from_secs(10);
/// How long the machine with a lost disk is down.
const WIPE_DOWN: Duration = Duration::from_secs(1);
/// `recovery-s`, and as much again.
const RECOVERY: Duration = Duration::from_secs(24);

fn main() -> ExitCode {
    let Some((trouble, path)) = read_arguments() else {
        return ExitCode::from(2);
    };
    // For comparison: the time from the end of the old process to the loss of the disk.
    let pause = std::env::var("PAUSE_S")
        .ok()
        .and_then(|text| text.parse().ok());
    let pause = Duration::from_secs(pause.unwrap_or(0));
    let mut record = Record::create(&path);
    let tolerance = Tolerance {
        machines: 1,
        zones: 0,
    };
    let Some(mut site) = Site::new(&["fjord-a", "fjord-b", "sund"], 1, tolerance) else {
        record.line("the program is not built, or no loopback addresses are free");
        return ExitCode::from(2);
    };
    record.line(&format!(
        "fault-tolerance: machines = 1; disruption: {trouble}"
    ));
    for index in 0..site.machines.len() {
        site.start(index);
    }
    let status = site.put_config(10, Duration::from_secs(10));
    record.line(&format!("operator: version 10 answered with {status:?}"));
    if status != Some(200) {
        return ExitCode::from(2);
    }
    site.bootstrap = false;
    // Traffic starts ten seconds after the machines.
    sleep(Duration::from_secs(10));
    if trouble {
        let successor = site.add_machine("fjord-a");
        site.start(successor);
        record.line("platform: a new machine with an empty disk started in fjord-a");
        sleep(SUCCESSOR_TIME);
        let has_ended = site.stop(0);
        record.line(&format!(
            "platform: {} got SIGTERM and is gone for good; it ended within grace-s: {has_ended}",
            site.machines[0].name
        ));
        sleep(pause);
    }
    let answer = site.put_config_at(25, Duration::from_secs(5));
    let Some((200, from)) = answer else {
        record.line(&format!("operator: version 25 answered with {answer:?}"));
        return ExitCode::from(2);
    };
    let name = site.machines[from].name.clone();
    if trouble {
        site.power_off(from);
    }
    record.line(&format!("operator: version 25 acknowledged by {name}"));
    if trouble {
        record.line(&format!("platform: {name} lost power right after that"));
        sleep(WIPE_DOWN);
        site.kill(from);
        site.wipe(from);
        site.start(from);
        record.line(&format!(
            "platform: {name} is back with an empty disk; all machines run"
        ));
    }
    let running: Vec<usize> = (0..site.machines.len())
        .filter(|index| !trouble || *index != 0)
        .collect();
    let back_at = Instant::now();
    let mut newest = None;
    while back_at.elapsed() < RECOVERY {
        sleep(Duration::from_secs(1));
        let answers: Vec<_> = running
            .iter()
            .map(|index| site.read_config(*index))
            .collect();
        let text: Vec<String> = answers
            .iter()
            .map(|(status, version)| format!("{}/{}", show(*status), show(*version)))
            .collect();
        record.line(&format!(
            "operator: read back, status/version: {}",
            text.join(" ")
        ));
        newest = newest.max(answers.iter().filter_map(|(_, version)| *version).max());
        if newest >= Some(25) {
            break;
        }
    }
    let status = site.put_config(31, Duration::from_secs(6));
    record.line(&format!("operator: version 31 answered with {status:?}"));
    let ended = site.ended();
    if !ended.is_empty() {
        record.line(&format!("ended by themselves: {}", ended.join(", ")));
    }
    if newest >= Some(25) {
        record.line("held: the acknowledged version 25 was read back");
        return ExitCode::SUCCESS;
    }
    record.line(&format!(
        "BROKEN: version 25 was acknowledged, the newest read back is {newest:?}"
    ));
    ExitCode::from(1)
}

fn show<T: std::fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
