//! A ping of another writer reaches the node beside a target that holds flows.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::common::{SIDES, held, start_callers, start_site, start_target, summarise};
use crate::{
    Outcome,
    caller::CallerLog,
    http,
    record::Record,
    target::{Target, unix_millis},
};

const CALLERS: u8 = 12;
/// Longer than `contact-window-ms`, so that all machines are in touch.
const CALM: Duration = Duration::from_secs(8);
const WATCH: Duration = Duration::from_secs(8);

pub fn run(program: &Path, record: &Record, trouble: bool) -> Outcome {
    try_run(program, record, trouble).unwrap_or(Outcome::NotRun)
}

fn try_run(program: &Path, record: &Record, trouble: bool) -> Option<Outcome> {
    let mut site = start_site(program, record)?;
    let start = |side: &u8| start_target(&site, *side, &format!("i-{side}"), record);
    let targets: Vec<Target> = SIDES.iter().map(start).collect::<Option<_>>()?;
    let log = Arc::new(Mutex::new(CallerLog::default()));
    let mut callers = start_callers(&site, CALLERS, &log, record)?;
    thread::sleep(CALM);
    // The target with the most flows.
    let victim = targets.iter().max_by_key(|target| held(target))?;
    let flows = held(victim);
    record.line(format!("{} holds {flows} flows", victim.id));
    if flows == 0 {
        return None;
    }
    let before = log.lock().expect("no panic").resets.len();
    if trouble {
        // No zone, and a version of another type: it names no target to use.
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"version\":7,\"state\":\"ready\",\
             \"sequence\":1,\"born\":{}}}",
            victim.place.service,
            victim.place.app,
            unix_millis()
        );
        let path = "/cyclamenrouter/instances/i-other";
        let answer = http::call(victim.place.control, "PUT", path, &body);
        let status = answer.map(|(status, ..)| status);
        record.line(format!("ping of another writer: {body}, answer {status:?}"));
    }
    thread::sleep(WATCH);
    for caller in &mut callers {
        caller.stop();
    }
    let log = log.lock().expect("no panic");
    summarise(&log, &targets.iter().collect::<Vec<_>>(), record);
    // All targets live and have reset nothing: each reset is one of the system.
    let resets = log.resets.len() - before;
    record.line(format!("{resets} flows of living targets were reset"));
    if log.answered == 0 || !site.ended_by_themselves().is_empty() {
        return None;
    }
    Some(if resets == 0 {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}
