//! Text and exit status of a report.

use std::path::Path;

use crate::{
    check::{CheckEntry, CheckReport},
    program::ExitStatus,
};

fn valid() -> CheckReport {
    CheckReport::new(Path::new("new.json"), 3, 2)
}

/// Guards against warnings that a script can't tell from a clean or invalid file.
#[test]
fn the_status_tells_clean_warnings_and_invalid_apart() {
    let entry = CheckEntry::new("version", "wrong");
    assert_eq!(valid().status(), ExitStatus::Success);
    let warned = valid().with_warnings(vec![entry.clone()]);
    assert_eq!(warned.status(), ExitStatus::Warned);
    let invalid = CheckReport::invalid(Path::new("new.json"), vec![entry]);
    assert_eq!(invalid.status(), ExitStatus::Failed);
}

#[test]
fn the_text_names_places_and_positions() {
    let entry = CheckEntry::new("version", "wrong").with_position(4, 7);
    let invalid = CheckReport::invalid(Path::new("new.json"), vec![entry]);
    assert_eq!(
        invalid.to_string(),
        "new.json: invalid, 1 faults\n  `version`, line 4, column 7: wrong\n"
    );
    let same = valid().with_changes(Vec::new());
    assert_eq!(
        same.to_string(),
        "new.json: version 3, 2 services, valid\n  no change from the version in force\n"
    );
}
