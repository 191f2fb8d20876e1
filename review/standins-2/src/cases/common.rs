//! A small deployment, as most cases use it.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    caller::{Caller, CallerHabit, CallerLog},
    record::Record,
    site::{PACKET_PORT, Role, Site},
    target::Target,
};

pub const ENTRIES: [u8; 4] = [1, 2, 3, 4];
pub const SIDES: [u8; 3] = [50, 51, 52];
const ZONES: [&str; 3] = ["fjord-a", "fjord-b", "sund"];
/// How long a target works on an order, a route's usual work being 39 ms.
pub const WORK: Duration = Duration::from_millis(120);
const START_LIMIT: Duration = Duration::from_secs(15);

/// Starts three core machines, one edge machine without a disk and the side machines.
pub fn start_machines(program: &Path, record: &Record) -> Option<Site> {
    let mut site = Site::new(program, &ENTRIES[..3], record)?;
    for (entry, zone) in ENTRIES.iter().zip(ZONES.iter().cycle()) {
        let has_disk = *entry <= 3;
        site.add(*entry, Role::Entry { has_disk }, zone);
    }
    for (side, zone) in SIDES.iter().zip(ZONES) {
        let service = "barge-control".to_owned();
        site.add(*side, Role::Side { service }, zone);
    }
    site.start_all().then_some(site)
}

/// Starts the machines and sends the first config.
pub fn start_site(program: &Path, record: &Record) -> Option<Site> {
    let mut site = start_machines(program, record)?;
    if !site.apply_config(&config(&site, 7), &ENTRIES, START_LIMIT) {
        return None;
    }
    site.end_bootstrap();
    Some(site)
}

pub fn start_target(site: &Site, side: u8, id: &str, record: &Record) -> Option<Target> {
    Target::start(site.place(side), id, WORK, record)
}

/// Waits until all edge nodes are in rotation and starts requesters, each with one long
/// flow.
pub fn start_callers(
    site: &Site,
    callers: u8,
    log: &Arc<Mutex<CallerLog>>,
    record: &Record,
) -> Option<Vec<Caller>> {
    if !site.wait_for_rotation(ENTRIES.len(), START_LIMIT) {
        return None;
    }
    let habit = CallerHabit {
        requests_per_flow: 10_000,
        pause: Duration::from_millis(100),
        limit: Duration::from_millis(3_000),
    };
    let start = |number: u8| {
        Caller::start(
            site.address(100 + number, PACKET_PORT),
            Arc::clone(&site.rotation),
            site.address(200, 443),
            habit.clone(),
            Arc::clone(log),
            record.clone(),
        )
    };
    (0..callers).map(start).collect()
}

/// Returns how many flows a target holds.
pub fn held(target: &Target) -> usize {
    target.log.lock().expect("no panic").open.len()
}

/// Records each order, whether it was answered and how often it ran, and what requesters
/// have seen in all; returns how many orders ran and were not answered.
pub fn summarise(log: &CallerLog, targets: &[&Target], record: &Record) -> usize {
    let runs = |id: &String| -> u32 {
        let runs_at = |target: &&Target| {
            let log = target.log.lock().expect("no panic");
            log.runs.get(id).copied().unwrap_or(0)
        };
        targets.iter().map(runs_at).sum()
    };
    let mut lost = 0;
    for (id, sent_at, answered) in &log.requests {
        let runs = runs(id);
        lost += usize::from(!answered && runs > 0);
        record.line(format!(
            "order {id}: sent at {sent_at:.3}, answered {answered}, run {runs} times"
        ));
    }
    record.line(format!(
        "answered {}, unanswered {}, refused {}, unopened {}, foreign {}, resets by the system \
         {}, orders that ran and were never answered {lost}",
        log.answered,
        log.unanswered,
        log.refused,
        log.unopened,
        log.foreign,
        log.resets.len()
    ));
    lost
}

pub fn config(site: &Site, version: u64) -> String {
    let listener = site.address(200, 443);
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-feed\",\"hostname\":\"{}\",\
         \"path-prefix\":\"/443/\",\"route-type\":\"non_idempotent\",\"timeout-ms\":3000,\
         \"latency-goal-ms\":200,\"priority\":1,\"service\":\"barge-control\",\
         \"max-attempts\":2}}],\"services\":[{{\"name\":\"barge-control\",\
         \"health-path\":\"/health\",\"max-flows\":2000,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        listener.ip()
    )
}
