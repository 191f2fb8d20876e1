//! A delayed ping of an earlier boot arrives just after the node beside its successor was
//! stopped and started.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::common::{SIDES, held, start_callers, start_site, start_target, summarise};
use crate::{Outcome, caller::CallerLog, http, record::Record, target::Target};

const CALLERS: u8 = 12;
/// How long the earlier boot runs.
const EARLIER: Duration = Duration::from_millis(2_000);
/// Longer than `contact-window-ms` after the last start of a target.
const CALM: Duration = Duration::from_secs(9);
const WATCH: Duration = Duration::from_secs(6);
/// The pause between the end of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(300);

pub fn run(program: &Path, record: &Record, trouble: bool) -> Outcome {
    try_run(program, record, trouble).unwrap_or(Outcome::NotRun)
}

fn try_run(program: &Path, record: &Record, trouble: bool) -> Option<Outcome> {
    let mut site = start_site(program, record)?;
    let side = SIDES[0];
    let earlier = start_target(&site, side, "i-earlier", record)?;
    let start = |side: &u8| start_target(&site, *side, &format!("i-{side}"), record);
    let mut targets: Vec<Target> = SIDES[1..].iter().map(start).collect::<Option<_>>()?;
    thread::sleep(EARLIER);
    // Its third ping is on its way when it crashes, and is delayed.
    let delayed = earlier.ping_body(3);
    earlier.crash();
    record.line("i-earlier crashed");
    thread::sleep(RESTART_DELAY);
    targets.push(start_target(&site, side, "i-later", record)?);
    let log = Arc::new(Mutex::new(CallerLog::default()));
    let mut callers = start_callers(&site, CALLERS, &log, record)?;
    thread::sleep(CALM);
    let flows = held(targets.last()?);
    record.line(format!("i-later holds {flows} flows"));
    if flows == 0 {
        return None;
    }
    let before = log.lock().expect("no panic").resets.len();
    site.stop(side);
    thread::sleep(RESTART_DELAY);
    if !site.start(side) {
        return None;
    }
    if trouble {
        let path = "/cyclamenrouter/instances/i-earlier";
        let end = Instant::now() + Duration::from_secs(1);
        while Instant::now() < end {
            let answer = http::call(earlier.place.control, "PUT", path, &delayed);
            if let Some((status, ..)) = answer {
                record.line(format!("delayed ping: {delayed}, answer {status}"));
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
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
