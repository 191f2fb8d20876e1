//! The last call of an earlier boot, `DELETE`, arrives after the next boot has started under
//! the same id.

use std::{
    path::Path,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::Duration,
};

use super::common::{SIDES, held, start_callers, start_site, start_target, summarise};
use crate::{Outcome, caller::CallerLog, http, record::Record, target::Target};

const CALLERS: u8 = 12;
/// How long the earlier boot runs before it leaves.
const EARLIER: Duration = Duration::from_millis(2_000);
/// `drain-ms` and a little longer.
const DRAIN: Duration = Duration::from_millis(3_500);
/// Longer than `contact-window-ms` after the last start of a target.
const CALM: Duration = Duration::from_secs(9);
const WATCH: Duration = Duration::from_secs(6);
const RESTART_DELAY: Duration = Duration::from_millis(300);

pub fn run(program: &Path, record: &Record, trouble: bool) -> Outcome {
    try_run(program, record, trouble).unwrap_or(Outcome::NotRun)
}

fn try_run(program: &Path, record: &Record, trouble: bool) -> Option<Outcome> {
    let mut site = start_site(program, record)?;
    let side = SIDES[0];
    let id = format!("i-{side}");
    let earlier = start_target(&site, side, &id, record)?;
    let start = |side: &u8| start_target(&site, *side, &format!("i-{side}"), record);
    let mut targets: Vec<Target> = SIDES[1..].iter().map(start).collect::<Option<_>>()?;
    thread::sleep(EARLIER);
    earlier.draining.store(true, Ordering::SeqCst);
    thread::sleep(DRAIN);
    let control = earlier.place.control;
    let path = format!("/cyclamenrouter/instances/{id}");
    if !trouble {
        let answer = http::call(control, "DELETE", &path, "");
        let status = answer.map(|(status, ..)| status);
        record.line(format!("DELETE {id}: answer {status:?}"));
    }
    earlier.crash();
    record.line(format!("the first boot of {id} has exited"));
    thread::sleep(RESTART_DELAY);
    targets.push(start_target(&site, side, &id, record)?);
    let log = Arc::new(Mutex::new(CallerLog::default()));
    let mut callers = start_callers(&site, CALLERS, &log, record)?;
    thread::sleep(CALM);
    let flows = held(targets.last()?);
    record.line(format!("the second boot of {id} holds {flows} flows"));
    if flows == 0 {
        return None;
    }
    let before = log.lock().expect("no panic").resets.len();
    if trouble {
        let answer = http::call(control, "DELETE", &path, "");
        let status = answer.map(|(status, ..)| status);
        record.line(format!("delayed DELETE {id}: answer {status:?}"));
    }
    thread::sleep(WATCH);
    for caller in &mut callers {
        caller.stop();
    }
    let log = log.lock().expect("no panic");
    summarise(&log, &targets.iter().collect::<Vec<_>>(), record);
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
