//! The first start of a deployment: the operator sends the first config, and requests follow.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    caller::{Caller, End, Routers},
    http::operator_call,
    record::Record,
    site::{APP, CONTROL, OUTBOUND, Site},
    target::{Ledger, Place, Target},
};

const SERVICE: &str = "barge-control";
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const CONTACT_WINDOW: Duration = Duration::from_millis(4_000);
/// How long the operator sends the first config; usually it is acknowledged within a second.
const FIRST_ACK_LIMIT: Duration = Duration::from_secs(45);

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn config(version: u64, listener: std::net::SocketAddrV4) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"{}\",\
         \"path-prefix\":\"/{}/\",\"route-type\":\"non_idempotent\",\"timeout-ms\":3000,\
         \"latency-goal-ms\":200,\"priority\":1,\"service\":\"{SERVICE}\",\"max-attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/health\",\"max-flows\":2000,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        listener.ip(),
        listener.port()
    )
}

/// What is unusual about a first start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Oddity {
    /// The first config has the version 0.
    VersionZero,
    /// One of the three seeds is an entry machine without a disk.
    SeedWithoutDisk,
}

/// Returns whether the rule held; `None` if the case couldn't run.
pub fn run(folder: &Path, record: &Record, oddity: Oddity, trouble: bool) -> Option<bool> {
    let kind = oddity;
    let oddity = trouble.then_some(oddity);
    let seeds = match oddity {
        Some(Oddity::SeedWithoutDisk) => [1, 2, 4],
        Some(Oddity::VersionZero) | None => [1, 2, 3],
    };
    record.note(&format!(
        "the machines 1 to 3 have a disk; the seeds are {seeds:?}"
    ));
    let mut site = Site::new(folder, record.clone(), &seeds)?;
    let entries = [1_u8, 2, 3, 4, 5];
    for host in entries {
        site.add_entry(host, host <= 3)?;
    }
    let sides = [51_u8, 52, 53];
    let ledger = Ledger::default();
    let mut targets = Vec::new();
    for host in sides {
        site.add_side(host, SERVICE)?;
        let place = Place {
            name: format!("target-{host}"),
            service: SERVICE.to_owned(),
            zone: Site::zone(host).to_owned(),
            app: site.block.at(host, APP),
            outbound: site.block.at(host, OUTBOUND),
            control: site.block.at(host, CONTROL),
        };
        let id = format!("i-{host}-a");
        targets.push(Target::start(&place, &id, now_ms(), &ledger, record)?);
    }
    let listener = site.block.at(200, 8_443);
    let version = u64::from(oddity != Some(Oddity::VersionZero));
    let body = config(version, listener);
    let started = Instant::now();
    let is_acked = site.put_config(&entries, &body, FIRST_ACK_LIMIT).is_some();
    let acked = Instant::now();
    record.say(&format!(
        "version {version}: acknowledged {is_acked}, after {} ms",
        started.elapsed().as_millis()
    ));
    let read = operator_call(
        site.block.at(2, CONTROL),
        "GET",
        "/cyclamenrouter/config",
        "",
    );
    record.say(&format!(
        "read back: {:?}, as sent: {}",
        read.as_ref().map(|(status, _)| status),
        read.as_ref().is_some_and(|(_, text)| *text == body)
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let ips: Vec<_> = entries.iter().map(|host| site.block.ip(*host)).collect();
    let routers = Routers::start(&ips, &stop, record);
    // Traffic starts ten seconds after the machines, and well after the bound.
    sleep((CONFIG_APPLY + CONTACT_WINDOW + Duration::from_secs(5)).saturating_sub(acked.elapsed()));
    record.say(&format!(
        "{} of {} entry machines are in rotation",
        routers.in_rotation(),
        entries.len()
    ));
    let mut callers = Vec::new();
    for host in [101, 102] {
        callers.push(Caller::bind(site.block.ip(host), &routers, &stop, record)?);
    }
    for number in 0..100 {
        let caller = &callers[number % callers.len()];
        caller.spawn_request(
            listener,
            &format!("q{number}"),
            Duration::from_millis(3_000),
        );
        sleep(Duration::from_millis(50));
    }
    sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    targets.into_iter().for_each(Target::crash);
    let attempts: Vec<_> = callers
        .iter()
        .flat_map(|caller| caller.attempts.lock().expect("no panic").clone())
        .collect();
    let served = attempts
        .iter()
        .filter(|attempt| {
            attempt.end
                == End::Answered {
                    status: 200,
                    sound: true,
                }
        })
        .count();
    let unopened = attempts
        .iter()
        .filter(|attempt| matches!(attempt.end, End::Unopened | End::Refused))
        .count();
    record.say(&format!(
        "requests: {}; served: {served}; handled as if the route were not there: {unopened}",
        attempts.len()
    ));
    let held = match kind {
        Oddity::VersionZero => unopened == 0,
        Oddity::SeedWithoutDisk => is_acked && served > 0,
    };
    (!attempts.is_empty()).then_some(held)
}
