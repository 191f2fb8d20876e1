//! Two seeds without a disk are killed at the first start, before the control group has
//! formed.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::common::{WORK, config, summarise};
use crate::{
    Outcome,
    caller::{Caller, CallerHabit, CallerLog},
    record::Record,
    site::{PACKET_PORT, Role, Site},
    target::Target,
};

const WITH_DISK: [u8; 3] = [1, 2, 3];
const WITHOUT_DISK: [u8; 3] = [4, 5, 6];
const SIDES: [u8; 2] = [50, 51];
/// The machines that serve control and whose addresses the settings name.
const SEEDS: [u8; 3] = [1, 4, 5];
const KILLED: [u8; 2] = [4, 5];
/// The last machine starts this long after the first; all start within 0.3 s.
const LAST_START: Duration = Duration::from_millis(300);
/// When the two are killed, from the first start on.
const KILLED_AT: Duration = Duration::from_millis(250);
/// How long a killed process is gone.
const DOWN: Duration = Duration::from_millis(500);
/// For how long the first config is sent; `ack-ms` is 5 s and `contact-window-ms` 4 s.
const ORDER_LIMIT: Duration = Duration::from_secs(40);
const REQUESTS: Duration = Duration::from_secs(8);

pub fn run(program: &Path, record: &Record, trouble: bool) -> Outcome {
    try_run(program, record, trouble).unwrap_or(Outcome::NotRun)
}

fn try_run(program: &Path, record: &Record, trouble: bool) -> Option<Outcome> {
    let mut site = Site::new(program, &SEEDS, record)?;
    let zones = ["fjord-a", "fjord-b", "sund"];
    for (host, zone) in WITH_DISK.iter().zip(zones) {
        site.add(*host, Role::Entry { has_disk: true }, zone);
    }
    for (host, zone) in WITHOUT_DISK.iter().zip(zones) {
        site.add(*host, Role::Entry { has_disk: false }, zone);
    }
    for (host, zone) in SIDES.iter().zip(zones) {
        let service = "barge-control".to_owned();
        site.add(*host, Role::Side { service }, zone);
    }
    let last = WITH_DISK[2];
    let start = Instant::now();
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(start.elapsed()));
    let hosts = WITH_DISK.iter().chain(&WITHOUT_DISK).chain(&SIDES);
    for host in hosts.filter(|host| **host != last) {
        if !site.start(*host) {
            return None;
        }
    }
    site.spawn_probes();
    wait_until(KILLED_AT);
    if trouble {
        KILLED.iter().for_each(|host| site.kill(*host));
    }
    wait_until(LAST_START);
    if !site.start(last) {
        return None;
    }
    wait_until(KILLED_AT + DOWN);
    // What starts from now on is no part of the first start.
    site.end_bootstrap();
    if trouble && !KILLED.iter().all(|host| site.start(*host)) {
        return None;
    }
    let mut targets = Vec::new();
    for side in SIDES {
        targets.push(Target::start(
            site.place(side),
            &format!("i-{side}"),
            WORK,
            record,
        )?);
    }
    let nodes: Vec<u8> = WITH_DISK.into_iter().chain(WITHOUT_DISK).collect();
    let acknowledged = site.apply_config(&config(&site, 7), &nodes, ORDER_LIMIT);
    record.line(format!("first config acknowledged: {acknowledged}"));
    let in_rotation = site.wait_for_rotation(nodes.len(), Duration::from_secs(8));
    record.line(format!("all edge nodes in rotation: {in_rotation}"));
    let log = Arc::new(Mutex::new(CallerLog::default()));
    let habit = CallerHabit {
        requests_per_flow: 1,
        pause: Duration::from_millis(10),
        limit: Duration::from_millis(3_000),
    };
    let mut callers = Vec::new();
    for number in 0..8 {
        callers.push(Caller::start(
            site.address(100 + number, PACKET_PORT),
            Arc::clone(&site.rotation),
            site.address(200, 443),
            habit.clone(),
            Arc::clone(&log),
            record.clone(),
        )?);
    }
    thread::sleep(REQUESTS);
    for caller in &mut callers {
        caller.stop();
    }
    let log = log.lock().expect("no panic");
    summarise(&log, &targets.iter().collect::<Vec<_>>(), record);
    for host in [1, 2, 4, 5] {
        site.quote_log(host, "6055", 2);
    }
    if !site.ended_by_themselves().is_empty() {
        return None;
    }
    Some(if acknowledged && log.answered > 0 {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}
