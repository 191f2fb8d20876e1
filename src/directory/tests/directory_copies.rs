//! A replica that has just started copies the directory of another one.

use super::{SETTLED, START, directory, record};
use crate::{
    clock::SpanMillis,
    directory::{DirectoryPosition, DirectoryUpdate, TargetDirectory, TargetStatus},
    key::IncarnationId,
};

fn everything(directory: &TargetDirectory) -> DirectoryUpdate {
    directory.changes_since(DirectoryPosition::default(), SETTLED)
}

fn restarted() -> TargetDirectory {
    TargetDirectory::new(8, SETTLED)
}

#[test]
fn a_copied_directory_is_settled_and_lists_all_agents() {
    let mut copy = restarted();
    assert!(copy.copy_settled(everything(&directory(3, START)), SETTLED));
    assert!(copy.is_settled(SETTLED));
    assert_eq!(everything(&copy).records.len(), 3);
}

#[test]
fn watchers_learn_that_a_directory_was_copied() {
    let mut copy = restarted();
    let position = copy.position();
    copy.copy_settled(everything(&directory(0, START)), SETTLED);
    assert_ne!(copy.position(), position);
}

/// A silent target may hold flows, and an ended one may run again.
#[test]
fn silent_and_ended_targets_are_copied() {
    let mut known = directory(2, START);
    known.announce(record(0, 2, TargetStatus::Silent), START);
    known.announce(record(1, 2, TargetStatus::Ended), START);
    let mut copy = restarted();
    copy.copy_settled(everything(&known), SETTLED);
    let statuses: Vec<_> = everything(&copy)
        .records
        .iter()
        .map(|record| record.status)
        .collect();
    assert_eq!(statuses, [TargetStatus::Silent, TargetStatus::Ended]);
}

#[test]
fn a_directory_that_has_not_settled_is_not_copied() {
    let update = directory(3, START).changes_since(DirectoryPosition::default(), START);
    let mut copy = restarted();
    assert!(!copy.copy_settled(update, SETTLED));
    assert!(!copy.is_settled(SETTLED));
}

#[test]
fn what_an_agent_announced_is_not_replaced_by_a_copy() {
    let mut copy = restarted();
    copy.announce(record(0, 9, TargetStatus::Leaving), SETTLED);
    copy.copy_settled(everything(&directory(1, START)), SETTLED);
    assert_eq!(
        everything(&copy).records,
        [record(0, 9, TargetStatus::Leaving)]
    );
}

/// An agent that is gone is not used for longer than without the copy.
#[test]
fn a_copied_agent_that_does_not_announce_itself_falls_silent() {
    let mut copy = restarted();
    copy.copy_settled(everything(&directory(4, START)), SETTLED);
    let later = SETTLED.after(SpanMillis::new(2_200));
    for number in 1..4 {
        copy.announce(record(number, 2, TargetStatus::Serving), later);
    }
    assert!(copy.expire(later));
    assert_eq!(everything(&copy).records[0].status, TargetStatus::Silent);
}

/// A replica that did not hear an agent for a while may tell of an earlier incarnation of
/// its target, which must not end the long flows of the present one.
#[test]
fn the_incarnation_of_a_copied_record_ends_no_long_flows() {
    let mut copy = restarted();
    copy.copy_settled(everything(&directory(1, START)), SETTLED);
    let agent = record(0, 1, TargetStatus::Serving).agent;
    assert_eq!(copy.incarnations(), []);
    assert_eq!(copy.incarnation_of(agent), None);
    copy.announce(record(0, 2, TargetStatus::Serving), SETTLED);
    assert_eq!(copy.incarnation_of(agent), Some(IncarnationId::new(0)));
}
