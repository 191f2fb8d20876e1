//! Records that fit their types and can't be true.

use std::net::Ipv4Addr;

use rstest::rstest;

use super::{START, accepting_targets, directory, record};
use crate::{
    clock::{ClockMillis, SpanMillis},
    directory::{
        ANNOUNCE_MILLIS, DirectoryPosition, TargetDirectory, TargetRecord, TargetStatus, TargetView,
    },
};

/// Time within which the announcements of a running agent must be in force again.
const FOLLOWED_WITHIN_MILLIS: SpanMillis = SpanMillis::new(2_500);

/// Announces a target that is leaving until the directory shows it; returns how long that
/// took.
fn time_until_leaving(
    directory: &mut TargetDirectory,
    first: u64,
    start: ClockMillis,
) -> SpanMillis {
    let mut now = start;
    for sequence in first..first + 20 {
        directory.announce(record(0, sequence, TargetStatus::Leaving), now);
        let update = directory.changes_since(DirectoryPosition::default(), now);
        let shown = update
            .records
            .iter()
            .find(|shown| shown.agent == record(0, 1, TargetStatus::Leaving).agent);
        if shown.is_some_and(|shown| shown.status == TargetStatus::Leaving) {
            return now.since(start);
        }
        now = now.after(ANNOUNCE_MILLIS);
    }
    panic!("the announcements of a running agent are ignored for good");
}

/// Guards against one announcement after which the agent's own are ignored for good.
#[rstest]
#[case::far_ahead(u64::MAX)]
#[case::ahead(40_000)]
fn a_running_agent_is_followed_after_an_odd_announcement(#[case] sequence: u64) {
    let mut directory = directory(1, START);
    directory.announce(record(0, sequence, TargetStatus::Serving), START);
    let waited = time_until_leaving(&mut directory, 2, START.after(ANNOUNCE_MILLIS));
    assert!(waited <= FOLLOWED_WITHIN_MILLIS, "{waited}");
}

/// Guards against a copied directory with an odd number that holds off its agent.
#[test]
fn a_running_agent_is_followed_after_an_odd_copy() {
    let mut source = TargetDirectory::new(8, ClockMillis::ORIGIN);
    source.announce(record(0, u64::MAX, TargetStatus::Serving), START);
    let update = source.changes_since(DirectoryPosition::default(), ClockMillis::new(20_000));
    let mut directory = TargetDirectory::new(9, START);
    assert!(directory.copy_settled(update, START));
    let waited = time_until_leaving(&mut directory, 2, START.after(ANNOUNCE_MILLIS));
    assert!(waited <= FOLLOWED_WITHIN_MILLIS, "{waited}");
}

/// Guards against a balancer that keeps a record with an odd number for good.
#[test]
fn a_balancer_follows_an_agent_after_a_record_with_an_odd_number() {
    let mut view = TargetView::default();
    let mut odd = directory(1, START);
    odd.announce(record(1, u64::MAX - 1, TargetStatus::Serving), START);
    view.apply_update(odd.changes_since(DirectoryPosition::default(), START));
    assert_eq!(accepting_targets(&view), 2);
    let mut sound = TargetDirectory::new(9, START);
    sound.announce(record(1, 30, TargetStatus::Leaving), START);
    view.apply_update(sound.changes_since(DirectoryPosition::default(), START));
    assert_eq!(accepting_targets(&view), 1);
    // A directory that lags behind by less is still not believed.
    let mut late = TargetDirectory::new(10, START);
    late.announce(record(1, 25, TargetStatus::Serving), START);
    view.apply_update(late.changes_since(DirectoryPosition::default(), START));
    assert_eq!(accepting_targets(&view), 1);
}

/// Guards against odd records that are used as targets, or that hide the others.
#[rstest]
#[case::no_address(TargetRecord { agent: Ipv4Addr::UNSPECIFIED, ..record(1, 1, TargetStatus::Serving) })]
#[case::multicast(TargetRecord { agent: Ipv4Addr::new(224, 0, 0, 1), ..record(1, 1, TargetStatus::Serving) })]
#[case::more_failures_than_requests({
    let mut odd = record(1, 1, TargetStatus::Serving);
    odd.attributes.failures = u16::MAX;
    odd
})]
fn an_impossible_record_names_no_target(#[case] odd: TargetRecord) {
    let mut directory = directory(1, START);
    assert!(!directory.announce(odd, START));
    let mut view = TargetView::default();
    let mut update = directory.changes_since(DirectoryPosition::default(), START);
    update.records.push(odd);
    view.apply_update(update);
    assert_eq!(accepting_targets(&view), 1);
}
