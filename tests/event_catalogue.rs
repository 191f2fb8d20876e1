//! `docs/EVENTS.md` lists exactly the events that the code declares.

use std::{collections::BTreeSet, fs};

use cyclamenrouter::event::event_catalogue;

#[test]
fn the_page_lists_exactly_the_events_of_the_code() {
    let page = fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/docs/EVENTS.md"))
        .expect("the page is in the repository");
    let rows = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit());
    let listed: BTreeSet<String> = rows
        .map(|line| {
            line.split('|')
                .take(4)
                .map(str::trim)
                .collect::<Vec<_>>()
                .join("|")
        })
        .collect();
    let declared: BTreeSet<String> = event_catalogue()
        .iter()
        .map(|entry| format!("|{}|{}|{}", entry.number, entry.name, entry.message))
        .collect();
    assert_eq!(listed, declared);
}

#[test]
fn event_numbers_are_unique() {
    let entries = event_catalogue();
    let numbers: BTreeSet<u16> = entries.iter().map(|entry| entry.number).collect();
    assert_eq!(numbers.len(), entries.len());
}
