//! Long polling over loopback.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use super::fixture::{TestReplica, announcement, manifest, watch_after};
use crate::{
    control::{
        api::{CallRefusal, FeedReply, WatchScope},
        client::ControlClientError,
        feed::FeedState,
        server::ControlService,
        store::{ControlStore, MemoryStore, StateHandle},
    },
    key::FeedRevision,
    route::RouteChange,
};

#[tokio::test]
async fn a_waiting_watcher_receives_a_change() {
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
async fn a_scoped_watcher_advances_past_changes_of_other_services() {
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
async fn a_new_watcher_gets_a_snapshot_of_its_scope() {
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

#[tokio::test]
async fn an_isolated_replica_refuses_waiting_and_new_watchers() {
    let state = StateHandle::new(FeedState::new());
    let store = MemoryStore::new(state.clone());
    let service = Arc::new(ControlService::new(
        "control-test".to_owned(),
        SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
        state,
        ControlStore::Memory(store.clone()),
    ));
    let applied = service.apply(manifest(1, 0, &["barge"])).await;
    applied.expect("accepted");
    let waiting = {
        let service = Arc::clone(&service);
        let request = watch_after(1, WatchScope::All, 25_000);
        tokio::spawn(async move { service.watch(request).await.err() })
    };
    // The watcher should be waiting by now; otherwise it is refused as well.
    tokio::time::sleep(Duration::from_millis(200)).await;
    store.isolate();
    let fresh = service.watch(watch_after(0, WatchScope::All, 0)).await;
    assert_eq!(fresh.err(), Some(CallRefusal::NoQuorum));
    assert_eq!(service.status().await, Err(CallRefusal::NoQuorum));
    let offered = service.apply(manifest(2, 1, &["logbook"])).await;
    assert_eq!(offered, Err(CallRefusal::NoQuorum));
    // Its own wait of 25 s ends only after the 20 s allowed here.
    let refusal = tokio::time::timeout(Duration::from_secs(20), waiting).await;
    let refusal = refusal.expect("refused before its wait is over");
    assert_eq!(refusal.expect("no panic"), Some(CallRefusal::NoQuorum));
}
