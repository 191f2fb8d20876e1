//! Masking of the targets of evacuated domains at a directory and its watchers.

use std::net::Ipv4Addr;

use rstest::rstest;

use super::{SETTLED, START, accepting_targets, record};
use crate::{
    directory::{
        DirectoryPosition, DirectoryUpdate, TargetAttributes, TargetDirectory, TargetRecord,
        TargetStatus, TargetView,
    },
    key::DomainTag,
    listener::{EvacuationOrder, EvacuationSet, ListenerStore, ServiceTag},
};

/// Returns the set after these orders, an evacuation each, or a readmission of a domain
/// with a leading minus.
fn evacuations(orders: &[&str]) -> EvacuationSet {
    let store = ListenerStore::new();
    for order in orders {
        let order = match order.strip_prefix('-') {
            Some(domain) => EvacuationOrder::Readmit(domain.to_owned()),
            None => EvacuationOrder::Evacuate((*order).to_owned()),
        };
        store.apply(&order.encode().expect("encodable"));
    }
    EvacuationSet::clone(&store.evacuations())
}

fn record_in(domain: &str, number: u8, sequence: u64, status: TargetStatus) -> TargetRecord {
    TargetRecord {
        attributes: TargetAttributes {
            domain: Some(DomainTag::of(domain)),
            ..TargetAttributes::default()
        },
        ..record(number, sequence, status)
    }
}

/// Returns a directory of two targets in `fjord-a` and one in `fjord-b`.
fn directory() -> TargetDirectory {
    let mut directory = TargetDirectory::new(7, START);
    directory.announce(record_in("fjord-a", 0, 1, TargetStatus::Serving), START);
    directory.announce(record_in("fjord-a", 1, 1, TargetStatus::Warming), START);
    directory.announce(record_in("fjord-b", 2, 1, TargetStatus::Serving), START);
    directory
}

fn full_update(directory: &TargetDirectory) -> DirectoryUpdate {
    directory.changes_since(DirectoryPosition::default(), SETTLED)
}

fn statuses(update: &DirectoryUpdate) -> Vec<TargetStatus> {
    update.records.iter().map(|record| record.status).collect()
}

#[test]
fn targets_of_an_evacuated_domain_are_shown_as_leaving_until_it_is_readmitted() {
    let mut directory = directory();
    let position = directory.position();
    assert!(directory.set_evacuations(&evacuations(&["fjord-a"])));
    let masked = directory.changes_since(position, SETTLED);
    assert!(!masked.full);
    assert_eq!(
        statuses(&masked),
        [TargetStatus::Leaving, TargetStatus::Leaving]
    );
    assert!(!directory.set_evacuations(&evacuations(&["fjord-a"])));
    let position = directory.position();
    assert!(directory.set_evacuations(&evacuations(&["fjord-a", "-fjord-a"])));
    let readmitted = directory.changes_since(position, SETTLED);
    assert_eq!(
        statuses(&readmitted),
        [TargetStatus::Serving, TargetStatus::Warming]
    );
}

#[test]
fn a_watcher_gives_masked_targets_no_new_flows_and_keeps_them_as_owners() {
    let mut view = TargetView::default();
    let mut directory = directory();
    view.apply_update(full_update(&directory));
    assert_eq!(accepting_targets(&view), 3);
    directory.set_evacuations(&evacuations(&["fjord-a"]));
    view.apply_update(full_update(&directory));
    assert_eq!(accepting_targets(&view), 1);
    let known = view.known_targets();
    assert!(known.any_evacuated);
    let owners = &known.services[&ServiceTag::of("tavole")].possible_owners;
    assert_eq!(owners.len(), 3);
    directory.set_evacuations(&evacuations(&["fjord-a", "-fjord-a"]));
    view.apply_update(full_update(&directory));
    assert_eq!(accepting_targets(&view), 3);
    assert!(!view.known_targets().any_evacuated);
}

/// A process that starts in an evacuated domain must not get flows either.
#[test]
fn a_target_that_announces_itself_while_its_domain_is_evacuated_is_masked() {
    let mut directory = directory();
    directory.set_evacuations(&evacuations(&["fjord-a"]));
    let position = directory.position();
    directory.announce(record_in("fjord-a", 9, 1, TargetStatus::Serving), START);
    // One that has become warm stays masked.
    directory.announce(record_in("fjord-a", 1, 2, TargetStatus::Serving), START);
    let update = directory.changes_since(position, SETTLED);
    assert_eq!(
        statuses(&update),
        [TargetStatus::Leaving, TargetStatus::Leaving]
    );
    // Its warm-up is over when the domain is readmitted.
    directory.set_evacuations(&evacuations(&["fjord-a", "-fjord-a"]));
    assert_eq!(
        statuses(&full_update(&directory)),
        [TargetStatus::Serving; 4]
    );
}

/// An agent of an older build does not announce its domain.
#[test]
fn a_target_of_an_unknown_domain_is_not_masked() {
    let mut directory = TargetDirectory::new(7, START);
    directory.announce(record(0, 1, TargetStatus::Serving), START);
    directory.set_evacuations(&evacuations(&["fjord-a"]));
    assert_eq!(statuses(&full_update(&directory)), [TargetStatus::Serving]);
}

#[rstest]
#[case(TargetStatus::Leaving)]
#[case(TargetStatus::Silent)]
#[case(TargetStatus::Ended)]
fn a_target_that_accepts_no_flows_is_shown_as_announced(#[case] status: TargetStatus) {
    let mut directory = TargetDirectory::new(7, START);
    directory.announce(record_in("fjord-a", 0, 1, status), START);
    directory.set_evacuations(&evacuations(&["fjord-a"]));
    let update = full_update(&directory);
    assert_eq!(statuses(&update), [status]);
    assert!(update.evacuation.masked.is_empty());
}

/// A change that masks no target must reach watchers too: it holds for targets that
/// they learn of later, and its revision outlives a change of replica.
#[test]
fn a_watcher_learns_of_an_evacuated_domain_without_targets() {
    let mut directory = directory();
    let position = directory.position();
    directory.set_evacuations(&evacuations(&["fjord-z"]));
    assert_ne!(directory.position(), position);
    let update = directory.changes_since(position, SETTLED);
    assert!(update.records.is_empty());
    let mut view = TargetView::default();
    view.apply_update(update);
    assert_eq!(view.evacuated().revision, 1);
}

/// The new replica may have missed an announcement, so its records are older than the
/// watcher's own and are ignored; the evacuation must not be.
#[rstest]
#[case::evacuated(&[], &["fjord-a"], 1)]
#[case::readmitted(&["fjord-a"], &["fjord-a", "-fjord-a"], 3)]
fn a_watcher_takes_evacuations_of_a_replica_whose_records_are_older(
    #[case] before: &[&str],
    #[case] after: &[&str],
    #[case] accepting: usize,
) {
    let mut view = TargetView::default();
    let mut first = directory();
    for number in 0..2 {
        first.announce(
            record_in("fjord-a", number, 5, TargetStatus::Serving),
            START,
        );
    }
    first.set_evacuations(&evacuations(before));
    view.apply_update(full_update(&first));
    let mut second = directory();
    second.set_evacuations(&evacuations(after));
    view.apply_update(full_update(&second));
    assert_eq!(accepting_targets(&view), accepting);
}

/// A replica that is behind must not undo what a watcher knows.
#[test]
fn a_watcher_ignores_an_older_set() {
    let mut view = TargetView::default();
    let mut newer = directory();
    newer.set_evacuations(&evacuations(&["fjord-b", "fjord-a", "-fjord-b"]));
    view.apply_update(full_update(&newer));
    assert_eq!(accepting_targets(&view), 1);
    let mut behind = directory();
    behind.set_evacuations(&evacuations(&["fjord-b"]));
    view.apply_update(full_update(&behind));
    assert_eq!(accepting_targets(&view), 1);
    // Nor must one of an older build, which knows no set.
    view.apply_update(full_update(&directory()));
    assert_eq!(accepting_targets(&view), 1);
}

#[test]
fn a_target_that_is_silent_or_ended_while_evacuated_stays_so_for_watchers() {
    let mut directory = directory();
    directory.set_evacuations(&evacuations(&["fjord-a"]));
    directory.announce(record_in("fjord-a", 0, 2, TargetStatus::Ended), START);
    let mut view = TargetView::default();
    view.apply_update(full_update(&directory));
    let agent = Ipv4Addr::new(10, 0, 1, 0);
    assert!(view.known_targets().incarnations[&agent].ended);
}
