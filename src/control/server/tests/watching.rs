//! Long polls over loopback.

use super::fixture::{TestReplica, announcement, manifest, watch_after};
use crate::{
    control::api::{CallRefusal, FeedReply, WatchScope},
    control::client::ControlClientError,
    key::FeedRevision,
    route::RouteChange,
};

#[tokio::test]
async fn a_waiting_watcher_is_told_of_a_change() {
    let replica = TestReplica::start();
    let client = replica.client();
    client
        .apply(&manifest(1, 0, &["barge"]))
        .await
        .expect("accepted");
    let waiting = {
        let client = client.clone();
        tokio::spawn(async move { client.watch(&watch_after(1, WatchScope::All, 20_000)).await })
    };
    client
        .announce(&announcement("barge", 1, 5))
        .await
        .expect("registered");
    let reply = waiting.await.expect("no panic").expect("answered");
    let FeedReply::Delta(delta) = reply else {
        panic!("expected a delta, got {reply:?}");
    };
    assert_eq!(delta.revision, FeedRevision::new(2));
    assert!(matches!(delta.changes[..], [RouteChange::TargetSet(_)]));
}

#[tokio::test]
async fn a_scoped_watcher_moves_on_without_foreign_changes() {
    let replica = TestReplica::start();
    let client = replica.client();
    client
        .apply(&manifest(1, 0, &["barge", "logbook"]))
        .await
        .expect("accepted");
    client
        .announce(&announcement("logbook", 1, 5))
        .await
        .expect("registered");
    let scope = WatchScope::Service("barge".to_owned());
    let reply = client.watch(&watch_after(1, scope, 0)).await;
    let revision = FeedRevision::new(2);
    assert_eq!(reply, Ok(FeedReply::Unchanged { revision }));
}

#[tokio::test]
async fn a_fresh_watcher_gets_a_snapshot_of_its_scope() {
    let replica = TestReplica::start();
    let client = replica.client();
    client
        .apply(&manifest(1, 0, &["barge", "logbook"]))
        .await
        .expect("accepted");
    for (service, host) in [("barge", 1), ("logbook", 2), ("barge", 3)] {
        let request = announcement(service, host, 5);
        client.announce(&request).await.expect("registered");
    }
    let scope = WatchScope::Service("barge".to_owned());
    let reply = client.watch(&watch_after(0, scope, 0)).await;
    let Ok(FeedReply::Snapshot(snapshot)) = reply else {
        panic!("expected a snapshot, got {reply:?}");
    };
    assert_eq!((snapshot.services.len(), snapshot.targets.len()), (1, 2));
}

#[tokio::test]
async fn a_replica_behind_its_watcher_refuses() {
    let replica = TestReplica::start();
    let client = replica.client();
    let reply = client.watch(&watch_after(9, WatchScope::All, 0)).await;
    assert_eq!(
        reply,
        Err(ControlClientError::Refused(CallRefusal::NoQuorum))
    );
}
