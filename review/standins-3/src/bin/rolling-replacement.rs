//! The planned replacement of all core machines: the new ones first, then SIGTERM to the old
//! ones in turn. Usage: rolling-replacement trouble|calm RECORD. Exits with 1 if an acknowledged config is
//! gone, 0 if it is read back, 2 if the case could not run.

use std::{
    process::ExitCode,
    thread::sleep,
    time::{Duration, Instant},
};

use review_standins_3::{Record, Site, Tolerance, read_arguments};

/// How long the new machines run before the old ones are stopped; `catch-up-s` is 4.
const SUCCESSOR_TIME: Duration = Duration::from_secs(12);
/// The time from one SIGTERM to the next: the longest gap_s of `roll_term` on the standard days.
const GAP: Duration = Duration::from_millis(2_000);
/// `recovery-s`, and as much again.
const RECOVERY: Duration = Duration::from_secs(24);

fn main() -> ExitCode {
    let Some((trouble, path)) = read_arguments() else {
        return ExitCode::from(2);
    };
    // For comparison: another time between two stops.
    let gap = std::env::var("GAP_MS")
        .ok()
        .and_then(|text| text.parse().ok());
    let gap = gap.map_or(GAP, Duration::from_millis);
    let mut record = Record::create(&path);
    let zones = ["fjord-a", "fjord-b", "sund"];
    let tolerance = Tolerance {
        machines: 1,
        zones: 0,
    };
    let Some(mut site) = Site::new(&zones, 1, tolerance) else {
        record.line("the program is not built, or no loopback addresses are free");
        return ExitCode::from(2);
    };
    record.line(&format!(
        "fault-tolerance: machines = 1; disruption: {trouble}"
    ));
    for index in 0..zones.len() {
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
    for zone in zones {
        let successor = site.add_machine(zone);
        site.start(successor);
    }
    record.line("platform: a new machine with an empty disk started in each zone");
    sleep(SUCCESSOR_TIME);
    let status = site.put_config(25, Duration::from_secs(5));
    record.line(&format!("operator: version 25 answered with {status:?}"));
    if status != Some(200) {
        return ExitCode::from(2);
    }
    if trouble {
        for index in (0..zones.len()).rev() {
            site.signal(index, "TERM");
            record.line(&format!(
                "platform: SIGTERM to {}, which leaves",
                site.machines[index].name
            ));
            sleep(gap);
        }
        for index in 0..zones.len() {
            let has_ended = site.wait_for_end(index);
            let name = &site.machines[index].name;
            record.line(&format!(
                "platform: {name} is gone; it ended within grace-s: {has_ended}"
            ));
        }
    }
    let first = if trouble { zones.len() } else { 0 };
    let running: Vec<usize> = (first..site.machines.len()).collect();
    let stopped_at = Instant::now();
    let mut newest = None;
    while stopped_at.elapsed() < RECOVERY {
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
