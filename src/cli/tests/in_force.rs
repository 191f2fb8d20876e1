//! A manifest is in force when every balancer reported it.

use rstest::rstest;

use crate::{
    cli::{GroupView, InForceReport},
    control::api::{ControlStatus, WatcherName, WatcherStatus},
    key::{DomainName, FeedRevision},
};

fn balancers_at(revisions: &[u64]) -> GroupView {
    let balancers = revisions.iter().enumerate().map(|(index, count)| {
        let name = WatcherName::Balancer(format!("balancer-{index}"));
        watcher(name, *count)
    });
    let agent = watcher(WatcherName::Agent("agent".to_owned()), 0);
    view_of(balancers.chain([agent]).collect())
}

fn view_of(watchers: Vec<WatcherStatus>) -> GroupView {
    let mut view = GroupView::default();
    view.add(ControlStatus {
        revision: FeedRevision::new(9),
        manifest_version: 3,
        manifest_digest: None,
        manifest_revision: FeedRevision::new(5),
        services: 2,
        targets: 10,
        replicas: Vec::new(),
        watcher_count: watchers.len(),
        watchers,
    });
    view
}

fn watcher(name: WatcherName, count: u64) -> WatcherStatus {
    WatcherStatus {
        name,
        domain: DomainName::new("vestland", "sund"),
        in_force: FeedRevision::new(count),
        silent_millis: 40,
    }
}

#[rstest]
#[case::all(&[5, 9], true, &[])]
#[case::one_lags(&[4, 5, 5], false, &["balancer-0"])]
#[case::nobody_watches(&[], false, &[])]
fn agents_do_not_count_and_laggards_are_named(
    #[case] revisions: &[u64],
    #[case] everywhere: bool,
    #[case] lagging: &[&str],
) {
    let report = InForceReport::new(&balancers_at(revisions), FeedRevision::new(5));
    assert_eq!(report.everywhere, everywhere);
    let names: Vec<&str> = report.lagging.iter().map(|it| it.name.as_str()).collect();
    assert_eq!(names, lagging);
}

#[test]
fn a_balancer_that_changed_replica_counts_by_its_latest_word() {
    let name = || WatcherName::Balancer("balancer-0".to_owned());
    let mut old = watcher(name(), 3);
    old.silent_millis = 9_000;
    let mut view = view_of(vec![watcher(name(), 5), old.clone()]);
    let report = InForceReport::new(&view, FeedRevision::new(5));
    assert!(report.everywhere);
    old.silent_millis = 1;
    view.add_watcher(old);
    let report = InForceReport::new(&view, FeedRevision::new(5));
    assert!(!report.everywhere);
}
