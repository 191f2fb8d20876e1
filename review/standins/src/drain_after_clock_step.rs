//! A target restarts after the time of day on its machine has jumped back, and leaves later.

use std::{
    sync::{Arc, atomic::AtomicBool, atomic::Ordering},
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    caller::{Caller, End, Routers},
    record::Record,
    site::{APP, CONTROL, OUTBOUND, Site},
    target::{Ledger, Place, Target},
};

/// The largest jump of the site file barge-net (`clock_step`, x = 2400).
const CLOCK_STEP_MS: u64 = 2_400;
const DRAIN: Duration = Duration::from_millis(3_000);
const CONTACT_WINDOW: Duration = Duration::from_millis(4_000);
const SERVICE: &str = "barge-control";

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Returns whether the rule held; `None` if the case couldn't run.
pub fn run(folder: &std::path::Path, record: &Record, trouble: bool) -> Option<bool> {
    let mut site = Site::new(folder, record.clone(), &[1, 2, 3])?;
    let entries = [1_u8, 2, 3, 4, 5];
    for host in entries {
        site.add_entry(host, host <= 3)?;
    }
    let sides = [51_u8, 52, 53];
    for host in sides {
        site.add_side(host, SERVICE)?;
    }
    let places: Vec<Place> = sides
        .iter()
        .map(|host| Place {
            name: format!("target-{host}"),
            service: SERVICE.to_owned(),
            zone: Site::zone(*host).to_owned(),
            app: site.block.at(*host, APP),
            outbound: site.block.at(*host, OUTBOUND),
            control: site.block.at(*host, CONTROL),
        })
        .collect();
    let listener = site.block.at(200, 8_443);
    let config = format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"{}\",\
         \"path-prefix\":\"/{}/\",\"route-type\":\"non_idempotent\",\"timeout-ms\":3000,\
         \"latency-goal-ms\":200,\"priority\":1,\"service\":\"{SERVICE}\",\"max-attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/health\",\"max-flows\":2000,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        listener.ip(),
        listener.port()
    );
    let ledger = Ledger::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut others = Vec::new();
    for (place, host) in places.iter().zip(sides).skip(1) {
        let id = format!("i-{host}-a");
        others.push(Target::start(place, &id, now_ms(), &ledger, record)?);
    }
    site.put_config(&entries, &config, Duration::from_secs(20))?;
    site.end_bootstrap()?;
    let ips: Vec<_> = entries.iter().map(|host| site.block.ip(*host)).collect();
    let routers = Routers::start(&ips, &stop, record);
    let ready_by = Instant::now() + Duration::from_secs(20);
    while routers.in_rotation() < entries.len() {
        if Instant::now() > ready_by {
            return None;
        }
        sleep(Duration::from_millis(50));
    }
    sleep(Duration::from_secs(6));
    let mut callers = Vec::new();
    for host in [101, 102, 103, 104] {
        callers.push(Caller::bind(site.block.ip(host), &routers, &stop, record)?);
    }
    // A request on a flow of its own every 10 ms, from here to the end.
    let quiet = Arc::new(AtomicBool::new(false));
    let (load, ended, is_quiet) = (callers.clone(), Arc::clone(&stop), Arc::clone(&quiet));
    let loader = std::thread::spawn(move || {
        let mut number = 0_usize;
        while !ended.load(Ordering::SeqCst) {
            if is_quiet.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(10));
                continue;
            }
            let caller = &load[number % load.len()];
            caller.spawn_request(
                listener,
                &format!("q{number}"),
                Duration::from_millis(3_000),
            );
            number += 1;
            sleep(Duration::from_millis(10));
        }
    });
    sleep(Duration::from_secs(2));

    // The target starts while the time of day of its machine is ahead.
    let step = if trouble { CLOCK_STEP_MS } else { 0 };
    record.note(&format!(
        "the clock of the machine of target-51 is {step} ms ahead"
    ));
    let first = Target::start(&places[0], "i-51-a", now_ms() + step, &ledger, record)?;
    sleep(Duration::from_millis(900));
    record.note("the clock of the machine of target-51 is right again");
    // No requests come while the target is down, so that it isn't suspected.
    quiet.store(true, Ordering::SeqCst);
    sleep(Duration::from_millis(400));
    first.crash();
    sleep(Duration::from_millis(300));
    let target = Target::start(&places[0], "i-51-b", now_ms(), &ledger, record)?;
    sleep(Duration::from_millis(200));
    quiet.store(false, Ordering::SeqCst);

    // All is calm for longer than the contact window.
    sleep(CONTACT_WINDOW + Duration::from_secs(4));
    let served = ledger.runs.lock().expect("no panic").len();
    record.say(&format!("{served} requests had run before the drain"));
    target.drain();
    let end = Instant::now() + Duration::from_secs(8);
    let acked = loop {
        if let Some(at) = *target.drain_acked.lock().expect("no panic") {
            break at;
        }
        if Instant::now() > end {
            return None;
        }
        sleep(Duration::from_millis(5));
    };
    record.say("the drain of target-51 (i-51-b) is acknowledged");
    // The target serves on for the drain period and a little longer.
    while Instant::now() < acked + DRAIN + Duration::from_secs(5) {
        sleep(Duration::from_millis(10));
    }
    let left_at = Instant::now();
    target.leave();
    sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    let _ = loader.join();
    others.into_iter().for_each(Target::crash);
    sleep(Duration::from_millis(300));

    let attempts: Vec<_> = callers
        .iter()
        .flat_map(|caller| caller.attempts.lock().expect("no panic").clone())
        .collect();
    let sent_at = |src, listener| {
        attempts
            .iter()
            .find(|attempt| attempt.src == src && attempt.listener == listener)
            .map(|attempt| attempt.sent_at)
    };
    let openings = ledger.openings.lock().expect("no panic").clone();
    let late: Vec<_> = openings
        .iter()
        .filter(|opening| opening.id == "i-51-b" && opening.at > acked + DRAIN)
        .filter(|opening| {
            sent_at(opening.flow.0, opening.flow.1).is_some_and(|sent| sent > acked + DRAIN)
        })
        .collect();
    for opening in &late {
        record.note(&format!(
            "late: opening from {} reached {} {} ms after the acknowledgement",
            opening.flow.0,
            opening.id,
            opening.at.duration_since(acked).as_millis()
        ));
    }
    let runs = ledger.runs.lock().expect("no panic").clone();
    let late_runs = runs
        .iter()
        .filter(|run| run.id == "i-51-b" && run.at > acked + DRAIN)
        .count();
    // Requests that the leaving target began so late and that nobody answers any more.
    let lost = runs
        .iter()
        .filter(|run| run.id == "i-51-b" && run.at > acked + DRAIN && run.at < left_at)
        .filter(|run| {
            let attempt = attempts
                .iter()
                .find(|attempt| Some(&attempt.id) == run.request.as_ref());
            attempt.is_none_or(|attempt| {
                attempt.end
                    != End::Answered {
                        status: 200,
                        sound: true,
                    }
            })
        })
        .count();
    record.say(&format!(
        "requests: {}; openings at the leaving target later than {} ms after the \
         acknowledgement: {}; requests that ran there so late: {late_runs}, of them without \
         an answer: {lost}",
        attempts.len(),
        DRAIN.as_millis(),
        late.len()
    ));
    if served == 0 || attempts.is_empty() {
        return None;
    }
    Some(late.is_empty())
}
