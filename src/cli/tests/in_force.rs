//! A manifest is in force everywhere once every balancer has reported it.

use rstest::rstest;

use crate::{
    cli::{GroupWatchers, InForceReport},
    control::{
        api::{ControlStatus, WatcherName, WatcherStatus},
        server::tests::fixture::manifest,
    },
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
    group.add_status(status(watchers));
    group
}

fn status(watchers: Vec<WatcherStatus>) -> ControlStatus {
    ControlStatus {
        revision: FeedRevision::new(9),
        manifest_version: 3,
        manifest_digest: Some(manifest(3, 0, &["tavole"]).manifest.digest()),
        manifest_revision: FeedRevision::new(5),
        services: 2,
        targets: 10,
        replicas: Vec::new(),
        watcher_count: watchers.len(),
        watchers,
    }
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

/// Guards against a status that tells of a manifest in force on every balancer before the
/// first one was accepted.
#[test]
fn no_manifest_is_in_force_before_the_first_one() {
    let balancers = balancers_at(&[0, 0]);
    assert!(InForceReport::new(&balancers, FeedRevision::EMPTY).everywhere);
    let empty = ControlStatus {
        manifest_version: 0,
        manifest_digest: None,
        manifest_revision: FeedRevision::EMPTY,
        ..status(Vec::new())
    };
    assert_eq!(InForceReport::of_manifest(&balancers, &empty), None);
    let report = InForceReport::of_manifest(&balancers, &status(Vec::new()));
    assert_eq!(report.map(|report| report.lagging.len()), Some(2));
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
