//! A manifest is in force everywhere once every balancer has reported it.

use rstest::rstest;

use crate::{
    cli::{GroupWatchers, InForceReport},
    control::api::{ControlStatus, WatcherName, WatcherStatus},
    key::{FailureDomain, FeedRevision},
};

fn balancers_at(revisions: &[u64]) -> GroupWatchers {
    let balancers = revisions.iter().enumerate().map(|(index, count)| {
        let name = WatcherName::Balancer(format!("balancer-{index}"));
        watcher(name, *count)
    });
    let agent = watcher(WatcherName::Agent("agent".to_owned()), 0);
    group_of(balancers.chain([agent]).collect())
}

fn group_of(watchers: Vec<WatcherStatus>) -> GroupWatchers {
    let mut group = GroupWatchers::default();
    group.add_status(ControlStatus {
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
    group
}

fn watcher(name: WatcherName, count: u64) -> WatcherStatus {
    WatcherStatus {
        name,
        domain: FailureDomain::new("vestland", "sund"),
        in_force: FeedRevision::new(count),
        silent_millis: 40,
    }
}

#[rstest]
#[case::all(&[5, 9], true, &[])]
#[case::one_lags(&[4, 5, 5], false, &["balancer-0"])]
#[case::no_watchers(&[], false, &[])]
fn only_balancers_count_and_lagging_ones_are_listed(
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
fn the_most_recent_report_of_a_balancer_that_changed_replica_counts() {
    let name = || WatcherName::Balancer("balancer-0".to_owned());
    let mut old = watcher(name(), 3);
    old.silent_millis = 9_000;
    let mut group = group_of(vec![watcher(name(), 5), old.clone()]);
    let report = InForceReport::new(&group, FeedRevision::new(5));
    assert!(report.everywhere);
    old.silent_millis = 1;
    group.add_watcher(old);
    let report = InForceReport::new(&group, FeedRevision::new(5));
    assert!(!report.everywhere);
}
