//! The first config has the version 0.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::common::{ENTRIES, SIDES, config, start_machines, start_target, summarise};
use crate::{
    Outcome,
    caller::{Caller, CallerHabit, CallerLog},
    record::Record,
    site::PACKET_PORT,
    target::Target,
};

const CALLERS: u8 = 8;
const ORDER_LIMIT: Duration = Duration::from_secs(15);
/// Longer than `config-apply-ms` and `contact-window-ms`.
const CALM: Duration = Duration::from_secs(8);
const REQUESTS: Duration = Duration::from_secs(20);

pub fn run(program: &Path, record: &Record, trouble: bool) -> Outcome {
    try_run(program, record, trouble).unwrap_or(Outcome::NotRun)
}

fn try_run(program: &Path, record: &Record, trouble: bool) -> Option<Outcome> {
    let mut site = start_machines(program, record)?;
    let version = u64::from(!trouble);
    if !site.apply_config(&config(&site, version), &ENTRIES, ORDER_LIMIT) {
        record.line("the first config is not acknowledged");
        return None;
    }
    site.end_bootstrap();
    let start = |side: &u8| start_target(&site, *side, &format!("i-{side}"), record);
    let targets: Vec<Target> = SIDES.iter().map(start).collect::<Option<_>>()?;
    thread::sleep(CALM);
    let read = site.read_config(ENTRIES[0]);
    record.line(format!(
        "read back: {:?}",
        read.map(|(status, body)| (status, body.chars().take(40).collect::<String>()))
    ));
    let in_rotation = site.wait_for_rotation(ENTRIES.len(), Duration::from_secs(1));
    record.line(format!("all edge nodes in rotation: {in_rotation}"));
    let log = Arc::new(Mutex::new(CallerLog::default()));
    let habit = CallerHabit {
        requests_per_flow: 1,
        pause: Duration::from_millis(10),
        limit: Duration::from_millis(3_000),
    };
    let mut callers = Vec::new();
    for number in 0..CALLERS {
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
    if !site.ended_by_themselves().is_empty() {
        return None;
    }
    Some(if log.answered > 0 {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}
