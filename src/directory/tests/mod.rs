//! Tests of the directory of targets.

mod directory_copies;
mod evacuations;
mod lookup_ranking;
mod odd_records;
mod published_figures;
mod target_weights;
mod weight_pace;
mod weight_steps;
mod weighted_service;

use std::{collections::BTreeSet, net::Ipv4Addr};

use rstest::rstest;

use super::{
    DirectoryPosition, TargetAttributes, TargetDirectory, TargetRecord, TargetStatus, TargetView,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    key::IncarnationId,
    listener::ServiceTag,
};

const START: ClockMillis = ClockMillis::new(1_000);
const SETTLED: ClockMillis = ClockMillis::new(10_000);

fn record(number: u8, sequence: u64, status: TargetStatus) -> TargetRecord {
    TargetRecord {
        agent: Ipv4Addr::new(10, 0, 1, number),
        service: ServiceTag::of("tavole"),
        agent_run: 1,
        sequence,
        incarnation: Some(IncarnationId::new(u64::from(number))),
        status,
        attributes: TargetAttributes::default(),
    }
}

fn directory(targets: u8, now: ClockMillis) -> TargetDirectory {
    let mut directory = TargetDirectory::new(7, START);
    for number in 0..targets {
        directory.announce(record(number, 1, TargetStatus::Serving), now);
    }
    directory
}

fn accepting_targets(view: &TargetView) -> usize {
    let known = view.known_targets();
    known
        .services
        .get(&ServiceTag::of("tavole"))
        .map_or(0, |targets| targets.accepting.len())
}

#[test]
fn a_late_announcement_changes_nothing() {
    let mut directory = directory(1, START);
    assert!(directory.announce(record(0, 5, TargetStatus::Leaving), START));
    assert!(!directory.announce(record(0, 4, TargetStatus::Serving), START));
    let update = directory.changes_since(DirectoryPosition::default(), SETTLED);
    assert_eq!(update.records, [record(0, 5, TargetStatus::Leaving)]);
}

#[test]
fn a_restarted_agent_starts_a_new_sequence() {
    let mut directory = directory(1, START);
    let mut restarted = record(0, 1, TargetStatus::Leaving);
    restarted.agent_run = 2;
    assert!(directory.announce(restarted, START));
}

#[test]
fn a_watcher_gets_only_changed_records() {
    let mut directory = directory(3, START);
    let position = directory.position();
    assert!(
        directory
            .changes_since(position, SETTLED)
            .records
            .is_empty()
    );
    directory.announce(record(1, 2, TargetStatus::Leaving), START);
    let update = directory.changes_since(position, SETTLED);
    assert!(!update.full);
    assert_eq!(update.records, [record(1, 2, TargetStatus::Leaving)]);
}

#[test]
fn a_silent_agent_gets_no_new_flows() {
    let mut directory = directory(5, START);
    let later = START.after(SpanMillis::new(3_000));
    for number in 0..4 {
        directory.announce(record(number, 2, TargetStatus::Serving), later);
    }
    assert!(directory.expire(later));
    let mut view = TargetView::default();
    view.apply_update(directory.changes_since(DirectoryPosition::default(), SETTLED));
    assert_eq!(accepting_targets(&view), 4);
}

#[test]
fn agents_that_fall_silent_together_are_not_marked() {
    let mut directory = directory(6, START);
    directory.expire(START.after(SpanMillis::new(5_000)));
    let mut view = TargetView::default();
    view.apply_update(directory.changes_since(DirectoryPosition::default(), SETTLED));
    assert_eq!(accepting_targets(&view), 6);
}

#[test]
fn a_balancer_keeps_targets_that_an_unsettled_directory_does_not_list() {
    let mut view = TargetView::default();
    view.apply_update(directory(4, START).changes_since(DirectoryPosition::default(), SETTLED));
    let restarted = directory(1, START);
    view.apply_update(restarted.changes_since(DirectoryPosition::default(), START));
    assert_eq!(accepting_targets(&view), 4);
    view.apply_update(restarted.changes_since(DirectoryPosition::default(), SETTLED));
    assert_eq!(accepting_targets(&view), 1);
}

#[test]
fn a_directory_that_knows_its_agents_is_settled_once_all_have_announced() {
    let agents: BTreeSet<Ipv4Addr> = (0..3)
        .map(|number| Ipv4Addr::new(10, 0, 1, number))
        .collect();
    let mut restarted = TargetDirectory::new(8, START);
    restarted.expect_agents(agents);
    let announced = START.after(SpanMillis::new(600));
    for number in 0..3 {
        assert!(!restarted.is_settled(announced));
        restarted.announce(record(number, 1, TargetStatus::Serving), START);
    }
    // An agent that is not expected announces itself within half a second.
    assert!(!restarted.is_settled(START.after(SpanMillis::new(500))));
    assert!(restarted.is_settled(announced));
    // A directory that does not know them waits for agents that may still announce.
    assert!(!directory(3, START).is_settled(START));
    assert!(directory(3, START).is_settled(SETTLED));
}

/// A datagram of a run that has been killed may arrive after the first one of the
/// agent's next run.
#[test]
fn a_delayed_announcement_of_an_earlier_run_changes_nothing() {
    let mut directory = directory(1, START);
    let mut restarted = record(0, 1, TargetStatus::Leaving);
    restarted.agent_run = 2;
    assert!(directory.announce(restarted, START));
    let late = START.after(SpanMillis::new(2_000));
    assert!(!directory.announce(record(0, 9, TargetStatus::Serving), late));
    let update = directory.changes_since(DirectoryPosition::default(), SETTLED);
    assert_eq!(update.records, [restarted]);
}

/// If the runs were heard in the wrong order, the one that goes on is taken again.
#[test]
fn a_run_that_goes_on_announcing_is_not_ignored_for_long() {
    let mut directory = directory(1, START);
    let mut late = record(0, 1, TargetStatus::Leaving);
    late.agent_run = 2;
    directory.announce(late, START);
    let next = START.after(SpanMillis::new(6_000));
    assert!(directory.announce(record(0, 13, TargetStatus::Serving), next));
}

#[rstest]
#[case::leaving(TargetStatus::Leaving)]
#[case::ended(TargetStatus::Ended)]
fn a_target_that_left_is_not_used_again_after_its_agent_restarted(#[case] left: TargetStatus) {
    let mut directory = directory(2, START);
    directory.announce(record(0, 2, left), START);
    let restarted = TargetRecord {
        agent_run: 2,
        incarnation: None,
        ..record(0, 1, TargetStatus::Serving)
    };
    directory.announce(restarted, START);
    let mut view = TargetView::default();
    view.apply_update(directory.changes_since(DirectoryPosition::default(), SETTLED));
    assert_eq!(accepting_targets(&view), 1);
    // Its next incarnation is.
    let next = TargetRecord {
        agent_run: 2,
        incarnation: Some(IncarnationId::new(90)),
        ..record(0, 2, TargetStatus::Serving)
    };
    assert!(directory.announce(next, START));
    view.apply_update(directory.changes_since(DirectoryPosition::default(), SETTLED));
    assert_eq!(accepting_targets(&view), 2);
}

/// A replica that was cut off from the agents may list what was true before.
#[test]
fn a_watcher_that_changes_replica_ignores_records_older_than_its_own() {
    let mut view = TargetView::default();
    let mut newer = directory(2, START);
    newer.announce(record(0, 5, TargetStatus::Leaving), START);
    view.apply_update(newer.changes_since(DirectoryPosition::default(), SETTLED));
    let older = directory(2, START);
    view.apply_update(older.changes_since(DirectoryPosition::default(), SETTLED));
    assert_eq!(accepting_targets(&view), 1);
}

/// After a restart of all processes hundreds of agents announce within a second,
/// and thin links can't carry the full directory for each step.
#[test]
fn a_watcher_of_an_unsettled_directory_gets_each_record_once() {
    let mut directory = TargetDirectory::new(8, START);
    directory.expect_agents((0..200).map(|n| Ipv4Addr::new(10, 0, 1, n)).collect());
    let mut view = TargetView::default();
    let mut position = DirectoryPosition::default();
    let mut received = 0;
    let now = START.after(SpanMillis::new(600));
    for number in 0..200 {
        directory.announce(record(number, 1, TargetStatus::Serving), now);
        let update = directory.changes_since(position, now);
        received += update.records.len();
        position = update.position;
        assert_eq!(update.settled, number == 199);
        view.apply_update(update);
    }
    assert_eq!(received, 200);
    assert_eq!(accepting_targets(&view), 200);
}

/// The directory settles by time as well, without a change of any record.
#[test]
fn a_watcher_learns_that_a_directory_has_settled() {
    let mut view = TargetView::default();
    view.apply_update(directory(3, START).changes_since(DirectoryPosition::default(), SETTLED));
    let mut restarted = TargetDirectory::new(9, SETTLED);
    restarted.announce(record(0, 2, TargetStatus::Serving), SETTLED);
    let first = restarted.changes_since(DirectoryPosition::default(), SETTLED);
    let position = first.position;
    view.apply_update(first);
    assert_eq!(accepting_targets(&view), 3);
    let settled = SETTLED.after(SpanMillis::new(2_500));
    restarted.announce(record(0, 3, TargetStatus::Serving), settled);
    assert_ne!(restarted.position(), position);
    view.apply_update(restarted.changes_since(position, settled));
    assert_eq!(accepting_targets(&view), 1);
}
