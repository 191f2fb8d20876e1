//! Calls above the concurrency limits are refused immediately.

use super::fixture::{TestReplica, manifest, watch_after};
use crate::control::{
    api::{CallRefusal, WatchScope},
    client::ReplicaCallError,
    server::CallLimiter,
};

#[tokio::test]
async fn a_call_above_the_limit_is_refused_immediately() {
    let replica = TestReplica::with_limiter(CallLimiter::with_limits(0, 8));
    let refused = replica.client().status_at(replica.address).await;
    let Err(ReplicaCallError::Refused(CallRefusal::Overloaded { retry_after_millis })) = refused
    else {
        panic!("expected an overload, got {refused:?}");
    };
    assert!(retry_after_millis > 0);
}

#[tokio::test]
async fn waiting_watchers_do_not_count_towards_the_call_limit() {
    let replica = TestReplica::with_limiter(CallLimiter::with_limits(1, 1));
    let client = replica.client();
    let waiting = {
        let client = client.clone();
        tokio::spawn(async move { client.watch(&watch_after(0, WatchScope::All, 20_000)).await })
    };
    client
        .apply(&manifest(1, 0, &["barge"]))
        .await
        .expect("accepted");
    assert!(waiting.await.expect("no panic").is_ok());
}
