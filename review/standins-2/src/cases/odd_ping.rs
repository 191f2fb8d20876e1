//! A ping of another writer reaches the node beside a target that holds flows.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    caller::{Caller, CallerHabit, CallerLog},
    http,
    record::Record,
    site::{CONTROL_PORT, PACKET_PORT, Role, Site},
    target::Target,
};

const ENTRIES: [u8; 4] = [1, 2, 3, 4];
const SIDES: [u8; 3] = [50, 51, 52];
const CALLERS: u8 = 12;
/// Longer than `contact-window-ms`, so that all machines are in touch.
const CALM: Duration = Duration::from_secs(8);
/// How long a target works on an order, a route's usual work being 39 ms.
const WORK: Duration = Duration::from_millis(120);
const WATCH: Duration = Duration::from_secs(8);

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

pub fn run(program: &Path, record: &Record, trouble: bool) -> Outcome {
    let Some(mut site) = Site::new(program, &ENTRIES[..3], record) else {
        return Outcome::NotRun;
    };
    let zones = ["fjord-a", "fjord-b", "sund"];
    for (entry, zone) in ENTRIES.iter().zip(zones.iter().cycle()) {
        site.add(*entry, Role::Entry { has_disk: *entry <= 3 }, zone);
    }
    for (side, zone) in SIDES.iter().zip(zones) {
        let service = "barge-control".to_owned();
        site.add(*side, Role::Side { service }, zone);
    }
    if !site.start_all() || !site.apply_config(&config(&site, 7), &ENTRIES, Duration::from_secs(15))
    {
        return Outcome::NotRun;
    }
    site.end_bootstrap();
    let mut targets = Vec::new();
    for side in SIDES {
        let id = format!("i-{side}");
        let target = Target::start(site.place(side), &id, WORK, record);
        let Some(target) = target else {
            return Outcome::NotRun;
        };
        targets.push(target);
    }
    if !site.wait_for_rotation(ENTRIES.len(), Duration::from_secs(15)) {
        return Outcome::NotRun;
    }
    let log = Arc::new(Mutex::new(CallerLog::default()));
    let habit = CallerHabit {
        requests_per_flow: 10_000,
        pause: Duration::from_millis(100),
        limit: Duration::from_millis(3_000),
    };
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let caller = Caller::start(
            site.address(100 + number, PACKET_PORT),
            Arc::clone(&site.rotation),
            site.address(200, 443),
            habit.clone(),
            Arc::clone(&log),
            record.clone(),
        );
        let Some(caller) = caller else {
            return Outcome::NotRun;
        };
        callers.push(caller);
    }
    thread::sleep(CALM);
    // The target with the most flows.
    let held = |target: &Target| target.log.lock().expect("no panic").open.len();
    let victim = targets.iter().max_by_key(|target| held(target)).expect("some");
    let flows = held(victim);
    record.line(format!("{} holds {flows} flows", victim.id));
    if flows == 0 {
        return Outcome::NotRun;
    }
    let before = log.lock().expect("no panic").resets.len();
    if trouble {
        // No zone, and a version of another type: it names no target to use.
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"version\":7,\"state\":\"ready\",\
             \"sequence\":1,\"born\":{}}}",
            victim.place.service,
            victim.place.app,
            crate::target::unix_millis()
        );
        let address = victim.place.control;
        debug_assert_eq!(address.port(), CONTROL_PORT);
        let answer = http::call(address, "PUT", "/cyclamenrouter/instances/i-other", &body);
        let status = answer.map(|(status, ..)| status);
        record.line(format!("ping of another writer: {body}, answer {status:?}"));
    }
    thread::sleep(WATCH);
    for caller in &mut callers {
        caller.stop();
    }
    let still_held = held(victim);
    let log = log.lock().expect("no panic");
    let resets = &log.resets[before..];
    // The target lives and has reset nothing: each reset is one of the system.
    let broken = resets.iter().filter(|(_, flow)| victim.holds(*flow)).count();
    record.line(format!(
        "answered {}, unanswered {}, refused {}, unopened {}, foreign {}, {} resets by the \
         system, {broken} of them on flows that their living target holds; it holds {still_held}",
        log.answered,
        log.unanswered,
        log.refused,
        log.unopened,
        log.foreign,
        resets.len()
    ));
    let ran = |id: &String| {
        let runs = |target: &Target| target.log.lock().expect("no panic").runs.contains_key(id);
        targets.iter().any(runs)
    };
    let lost = log.requests.iter().filter(|(id, _, answered)| !answered && ran(id));
    record.line(format!(
        "{} orders ran and were never answered",
        lost.count()
    ));
    if trouble {
        for side in SIDES {
            site.quote_log(side, "i-other", 3);
        }
    }
    if log.answered == 0 || !site.ended_by_themselves().is_empty() {
        return Outcome::NotRun;
    }
    if resets.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
