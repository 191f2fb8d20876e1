//! The table of watchers, and whom a change wakes.

use crate::{
    clock::ClockMillis,
    control::{
        api::{CallRefusal, WatcherName},
        feed::{FeedScope, FeedSignals, WatcherTable},
        state::FeedChange,
    },
    key::{DomainName, FeedRevision, ServiceNumber},
    route::RouteChange,
};

fn name(index: u32) -> WatcherName {
    WatcherName::Balancer(format!("balancer-{index}"))
}

fn hear(table: &mut WatcherTable, index: u32, revision: u64, now: u64) -> Result<(), CallRefusal> {
    let domain = DomainName::new("vestland", "sund");
    let revision = FeedRevision::new(revision);
    table.hear(&name(index), &domain, revision, ClockMillis::new(now))
}

#[test]
fn those_that_lag_furthest_come_first() {
    let mut table = WatcherTable::new();
    for (index, revision) in [(1, 9), (2, 4), (3, 7)] {
        hear(&mut table, index, revision, 0).expect("room");
    }
    let laggards = table.laggards(2, ClockMillis::new(50));
    let revisions: Vec<u64> = laggards
        .iter()
        .map(|shown| shown.in_force.count())
        .collect();
    assert_eq!(revisions, [4, 7]);
    assert_eq!(laggards[0].silent_millis, 50);
}

#[test]
fn a_full_table_refuses_new_watchers_until_silent_ones_are_forgotten() {
    let mut table = WatcherTable::new().with_most(2);
    hear(&mut table, 1, 1, 0).expect("room");
    hear(&mut table, 2, 1, 500_000).expect("room");
    assert!(matches!(
        hear(&mut table, 3, 1, 500_000),
        Err(CallRefusal::Overloaded { .. })
    ));
    hear(&mut table, 2, 2, 500_000).expect("a known watcher");
    hear(&mut table, 3, 1, 700_000).expect("room again");
    assert_eq!(table.len(), 2);
}

#[test]
fn a_change_wakes_only_the_watchers_that_it_concerns() {
    let mut signals = FeedSignals::new(FeedRevision::EMPTY);
    let services = [1, 2, 3].map(ServiceNumber::new);
    let mut scoped = services.map(|service| signals.subscribe(FeedScope::Service(service)));
    let mut all = signals.subscribe(FeedScope::All);
    for receiver in &mut scoped {
        receiver.borrow_and_update();
    }
    all.borrow_and_update();
    let change = FeedChange::new(RouteChange::ServiceRemoved(services[0]), services[0])
        .with_previous_service(Some(services[1]));
    signals.announce(FeedRevision::new(1), &[change]);
    let woken = scoped.map(|receiver| receiver.has_changed().expect("a sender"));
    assert_eq!(woken, [true, true, false]);
    assert!(all.has_changed().expect("a sender"));
}
