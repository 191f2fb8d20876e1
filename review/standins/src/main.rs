//! Plays one script case of the review; the exit code is 1 if the rule was broken, 0 if it
//! held and 2 if the case couldn't run.

mod caller;
mod core_replaced;
mod drain_after_clock_step;
mod first_config;
mod http;
mod packet;
mod record;
mod site;
mod target;

use std::{env, path::PathBuf, process::ExitCode};

use first_config::Oddity;
use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let Ok(record) = Record::create(&PathBuf::from(record)) else {
        return ExitCode::from(2);
    };
    let held = match case.as_str() {
        "core-replaced" => core_replaced::run(&folder, &record, trouble),
        "drain-after-clock-step" => drain_after_clock_step::run(&folder, &record, trouble),
        "first-config" => first_config::run(&folder, &record, Oddity::VersionZero, trouble),
        "first-seeds" => first_config::run(&folder, &record, Oddity::SeedWithoutDisk, trouble),
        _ => None,
    };
    match held {
        Some(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Some(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        None => {
            record.say("the case could not run");
            ExitCode::from(2)
        }
    }
}
