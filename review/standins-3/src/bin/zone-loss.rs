//! A zone without power, then a final fault that takes the disks of another zone.
//! Usage: zone-loss trouble|calm RECORD. Exits with 1 if an acknowledged config is gone, 0 if it is read
//! back, 2 if the case could not run.

use std::{
    process::ExitCode,
    thread::sleep,
    time::{Duration, Instant},
};

use review_standins_3::{Record, Site, Tolerance, read_arguments};

/// How long the first zone has no power: the longest loss that the pages name.
const DARK: Duration = Duration::from_secs(7);
/// When the final fault strikes, after the first zone lost its power.
const FAULT_AFTER: Duration = Duration::from_secs(5);
/// How long the machines with a lost disk are down.
const WIPE_DOWN: Duration = Duration::from_secs(1);
/// `recovery-s`, and as much again.
const RECOVERY: Duration = Duration::from_secs(24);

fn main() -> ExitCode {
    let Some((trouble, path)) = read_arguments() else {
        return ExitCode::from(2);
    };
    let number = |name: &str, default: u32| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let tolerance = Tolerance {
        machines: number("TOLERATED_MACHINES", 1),
        zones: 1,
    };
    let mut record = Record::create(&path);
    let Some(mut site) = Site::new(&["fjord-a", "fjord-b", "sund"], 2, tolerance) else {
        record.line("the program is not built, or no loopback addresses are free");
        return ExitCode::from(2);
    };
    record.line(&format!(
        "fault-tolerance: machines = {}, zones = {}; disruption: {trouble}",
        tolerance.machines, tolerance.zones
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
    // Traffic starts ten seconds after the machines; by then all of them take part.
    sleep(Duration::from_secs(10));
    let first_zone = site.zone("fjord-a");
    let second_zone = site.zone("fjord-b");
    let dark_at = Instant::now();
    if trouble {
        for index in &first_zone {
            site.power_off(*index);
        }
        record.line("platform: fjord-a has no power");
    }
    sleep(FAULT_AFTER);
    let status = site.put_config(25, Duration::from_secs(5));
    record.line(&format!("operator: version 25 answered with {status:?}"));
    if status != Some(200) {
        record.line("version 25 was not acknowledged; nothing can be read back");
        return ExitCode::from(2);
    }
    if trouble {
        for index in &second_zone {
            site.power_off(*index);
        }
        record.line("platform: the machines of fjord-b lost power, and their disks");
        sleep(WIPE_DOWN);
        for index in &second_zone {
            site.kill(*index);
            site.wipe(*index);
            site.start(*index);
        }
        record.line("platform: fjord-b is back with empty disks");
        sleep(DARK.saturating_sub(dark_at.elapsed()));
        for index in &first_zone {
            site.power_on(*index);
        }
        record.line("platform: fjord-a is back with its disks; all machines run");
    }
    let back_at = Instant::now();
    let mut newest = None;
    while back_at.elapsed() < RECOVERY {
        sleep(Duration::from_secs(1));
        let answers: Vec<_> = (0..site.machines.len())
            .map(|i| site.read_config(i))
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
