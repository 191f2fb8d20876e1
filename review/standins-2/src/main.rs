//! Runs one case of the review against the built programs.
//!
//! `standins-2 CASE RECORD_FILE PROGRAM`; with `TROUBLE=0` in the environment the
//! disruption is left out. Exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run.

mod caller;
mod cases;
mod http;
mod packet;
mod record;
mod site;
mod target;

use std::{env, path::PathBuf, process::exit, thread, time::Duration};

use record::Record;

/// The longest run of a case.
const RUN_LIMIT: Duration = Duration::from_secs(115);

/// How a case has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, record_file, program] = arguments.as_slice() else {
        eprintln!("usage: standins-2 CASE RECORD_FILE PROGRAM");
        exit(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&PathBuf::from(record_file)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record_file}: {error}");
            exit(2);
        }
    };
    record.line(format!("case {case}, trouble {trouble}"));
    let Some(run) = cases::find(case) else {
        eprintln!("no case {case}");
        exit(2);
    };
    thread::spawn(|| {
        thread::sleep(RUN_LIMIT);
        site::kill_all();
        exit(2);
    });
    let outcome = run(&PathBuf::from(program), &record, trouble);
    record.line(format!("outcome: {outcome:?}"));
    println!("{case}: {outcome:?}");
    exit(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::NotRun => 2,
    });
}
