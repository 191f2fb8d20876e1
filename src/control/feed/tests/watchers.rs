//! Tests of the watcher table and of the notifier.

use crate::{
    clock::ClockMillis,
    control::{
        api::{CallRefusal, WatcherName},
        feed::{FeedNotifier, FeedScope, WatcherTable},
        state::FeedChange,
    },
    key::{FailureDomain, FeedRevision, ServiceNumber},
    route::RouteChange,
};

fn name(index: u32) -> WatcherName {
    WatcherName::Balancer(format!("balancer-{index}"))
}

fn record_call(
    table: &mut WatcherTable,
    index: u32,
    revision: u64,
    now: u64,
) -> Result<(), CallRefusal> {
    let domain = FailureDomain::new("vestland", "sund");
    let revision = FeedRevision::new(revision);
    table.record_call(&name(index), &domain, revision, ClockMillis::new(now))
}

#[test]
fn watchers_with_the_lowest_revision_are_listed_first() {
    let mut table = WatcherTable::new();
    for (index, revision) in [(1, 9), (2, 4), (3, 7)] {
        record_call(&mut table, index, revision, 0).expect("a free entry");
    }
    let laggards = table.laggards(2, ClockMillis::new(50));
    let revisions: Vec<u64> = laggards
        .iter()
        .map(|laggard| laggard.in_force.count())
        .collect();
    assert_eq!(revisions, [4, 7]);
    assert_eq!(laggards[0].silent_millis, 50);
}

#[test]
fn a_full_table_refuses_new_watchers_until_silent_ones_are_evicted() {
    let mut table = WatcherTable::new().with_max_watchers(2);
    record_call(&mut table, 1, 1, 0).expect("a free entry");
    record_call(&mut table, 2, 1, 500_000).expect("a free entry");
    assert!(matches!(
        record_call(&mut table, 3, 1, 500_000),
        Err(CallRefusal::Overloaded { .. })
    ));
    record_call(&mut table, 2, 2, 500_000).expect("a known watcher");
    record_call(&mut table, 3, 1, 700_000).expect("a free entry again");
    assert_eq!(table.len(), 2);
}

#[test]
fn a_change_wakes_only_the_watchers_that_it_affects() {
    let mut notifier = FeedNotifier::new(FeedRevision::EMPTY);
    let services = [1, 2, 3].map(ServiceNumber::new);
    let mut scoped = services.map(|service| notifier.subscribe(FeedScope::Service(service)));
    let mut all = notifier.subscribe(FeedScope::All);
    for receiver in &mut scoped {
        receiver.borrow_and_update();
    }
    all.borrow_and_update();
    let change = FeedChange::new(RouteChange::ServiceRemoved(services[0]), services[0])
        .with_previous_service(Some(services[1]));
    notifier.notify(FeedRevision::new(1), &[change]);
    let woken = scoped.map(|receiver| receiver.has_changed().expect("a live sender"));
    assert_eq!(woken, [true, true, false]);
    assert!(all.has_changed().expect("a live sender"));
}
