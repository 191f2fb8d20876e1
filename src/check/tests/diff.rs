//! Differences between a document and the one in force.

use rstest::rstest;
use serde_json::{Value, json};

use crate::check::DocumentDiff;

fn document() -> Value {
    json!({
        "version": 1,
        "services": [
            { "name": "a", "slots": 4 },
            { "name": "b", "methods": ["GET", "PUT"] },
        ],
    })
}

fn changes(change: impl FnOnce(&mut Value)) -> Vec<String> {
    let mut after = document();
    change(&mut after);
    let changes = DocumentDiff::new(&["name"]).compare(&document(), &after);
    changes.iter().map(ToString::to_string).collect()
}

/// Guards against a change that is left out or reported at a wrong place.
#[rstest]
#[case::value(|it: &mut Value| it["version"] = json!(2), "`version`: 1 -> 2")]
#[case::in_list(|it: &mut Value| it["services"][0]["slots"] = json!(5), "`services[a].slots`: 4 -> 5")]
#[case::added_field(|it: &mut Value| it["services"][1]["slots"] = json!(5), "`services[b].slots`: added 5")]
#[case::plain_list(
    |it: &mut Value| it["services"][1]["methods"] = json!(["PUT"]),
    r#"`services[b].methods`: ["GET","PUT"] -> ["PUT"]"#
)]
#[case::order(
    |it: &mut Value| it["services"].as_array_mut().expect("a list").reverse(),
    "`services`: in another order"
)]
#[case::removed(
    |it: &mut Value| drop(it["services"].as_array_mut().expect("a list").remove(0)),
    r#"`services[a]`: removed {"name":"a","slots":4}"#
)]
#[case::inserted_before_others(
    |it: &mut Value| it["services"].as_array_mut().expect("a list").insert(0, json!({ "name": "c" })),
    r#"`services[c]`: added {"name":"c"}"#
)]
fn one_change_is_reported_once_at_its_place(#[case] change: fn(&mut Value), #[case] text: &str) {
    assert_eq!(changes(change), [text]);
}

#[test]
fn equal_documents_have_no_changes() {
    assert!(changes(|_| ()).is_empty());
}

/// Guards against pairing entries by a field whose text two entries share.
#[test]
fn entries_with_the_same_name_are_compared_as_a_whole_list() {
    let changes = changes(|it| it["services"][1]["name"] = json!("a"));
    assert_eq!(changes.len(), 1);
    assert!(changes[0].starts_with("`services`: ["));
}
